//! The `apply` and `get` commands, and the validation of version-controlled
//! configuration objects.
//!
//! A file contains one object or a list of objects as JSON with comments:
//! `{"kind", "name", "spec"}`.
//! `apply` updates conditionally on the version it read, so a concurrent edit is
//! reported and never overwritten.

use crate::{
  catalog::Catalog,
  object::{Kind, Name, Object},
  platform::{self, Client},
  settings::{Error, Settings, parse_jsonc},
};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::Value;
use std::{
  path::{Path, PathBuf},
  process::ExitCode,
  thread,
  time::Duration,
};

/// Attempts to read an object before giving up: a busy platform may not respond to some.
const MAX_READS: u32 = 4;
/// Delay between two of these attempts.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// An object as written in a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
  kind: String,
  name: String,
  spec: Value,
}

/// Reads and validates the objects of a file.
pub fn read(path: &Path) -> Result<Vec<(Name, Value)>, String> {
  let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
  match parse_jsonc(&text)? {
    Value::Array(objects) => objects.into_iter().map(parse_object).collect(),
    value => Ok(vec![parse_object(value)?]),
  }
}

fn parse_object(value: Value) -> Result<(Name, Value), String> {
  let file: File = serde_json::from_value(value).map_err(|error| error.to_string())?;
  let kind = Kind::parse(&file.kind).filter(|kind| Kind::CONFIGURED.contains(kind));
  let kind = kind.ok_or_else(|| format!("kind: `{}` is not a configuration kind", file.kind))?;
  if file.name.is_empty() || file.name.contains(['/', '?', ' ']) {
    return Err(format!(
      "name: `{}` is empty or contains `/`, `?` or a space",
      file.name
    ));
  }
  let name = Name::new(kind, file.name);
  Catalog::check(&name, Some(&file.spec.to_string()))?;
  Ok((name, file.spec))
}

/// Validation errors of a settings file or an object file.
pub fn validation_errors(path: &Path) -> Vec<String> {
  let text = match std::fs::read_to_string(path) {
    Ok(text) => text,
    Err(error) => return vec![error.to_string()],
  };
  let value = match parse_jsonc(&text) {
    Ok(value) => value,
    Err(error) => return vec![error],
  };
  let error = match value.get("kind") {
    None if value.is_object() => Settings::parse(&text).err(),
    _ => read(path).err(),
  };
  error.into_iter().collect()
}

fn files(directory: &Path) -> Result<Vec<PathBuf>, Report<Error>> {
  let read_error = || Error(format!("could not read `{}`", directory.display()));
  let entries = std::fs::read_dir(directory).change_context_lazy(read_error)?;
  let mut files = Vec::new();
  for entry in entries {
    let path = entry.change_context_lazy(read_error)?.path();
    let extension = path.extension().and_then(|extension| extension.to_str());
    if matches!(extension, Some("json" | "jsonc")) {
      files.push(path);
    }
  }
  files.sort();
  Ok(files)
}

fn client(platform: &str) -> Client {
  Client::new(&Settings {
    instance: "apply".into(),
    zone: String::new(),
    callers: String::new(),
    peers: String::new(),
    operators: String::new(),
    platform: platform.into(),
    seeds: Vec::new(),
    limits: Default::default(),
    health: None,
    routing: None,
  })
}

/// Writes all objects of a directory to the platform, after validating all of them.
pub fn apply(args: &[String], platform: &str) -> Result<ExitCode, Report<Error>> {
  let [directory] = args else {
    return Err(Report::new(Error(
      "apply: one directory is required".into(),
    )));
  };
  let mut objects = Vec::new();
  let mut catalog = Catalog::default();
  for path in files(Path::new(directory))? {
    let file_error = |error| Report::new(Error(format!("{}: {error}", path.display())));
    for (name, spec) in read(&path).map_err(file_error)? {
      catalog
        .put(&name, Some(&spec.to_string()))
        .map_err(file_error)?;
      objects.push((name, spec));
    }
  }
  if let Some(error) = catalog.dangling().first() {
    return Err(Report::new(Error(error.clone())));
  }
  let client = client(platform);
  let mut code = ExitCode::SUCCESS;
  for (name, spec) in objects {
    match put(&client, &name, &spec) {
      Ok(result) => println!("{name}: {result}"),
      Err(error) => {
        eprintln!("{name}: {error}");
        code = ExitCode::FAILURE;
      }
    }
  }
  Ok(code)
}

/// Reads an object. A failed read is retried, which is safe because it changes nothing.
fn read_with_retries(client: &Client, name: &Name) -> Result<Object, platform::Error> {
  for _ in 1..MAX_READS {
    match client.read(name) {
      Ok(object) => return Ok(object),
      Err(error) => {
        eprintln!("{name}: read failed, retrying: {error:?}");
        thread::sleep(READ_RETRY_DELAY);
      }
    }
  }
  client.read(name)
}

/// Writes an object conditionally on the version just read.
pub fn put(client: &Client, name: &Name, spec: &Value) -> Result<String, String> {
  let current =
    read_with_retries(client, name).map_err(|_| "platform unavailable; nothing written")?;
  let matches_spec = |stored: &Option<String>| {
    let value = stored
      .as_deref()
      .and_then(|text| serde_json::from_str::<Value>(text).ok());
    value.as_ref() == Some(spec)
  };
  if matches_spec(&current.value) {
    return Ok(format!("unchanged at version {}", current.version));
  }
  match client.write(name, current.version, &spec.to_string()) {
    Ok(version) => Ok(format!("written as version {version}")),
    Err(platform::Error::Conflict) => {
      Err("another edit came first; read it and apply again".into())
    }
    Err(platform::Error::Declined) => Err("the platform rejected the value".into()),
    // The response was lost; the current object shows whether the write was done.
    Err(platform::Error::Unavailable) => match read_with_retries(client, name) {
      Ok(latest) if matches_spec(&latest.value) => {
        Ok(format!("written as version {}", latest.version))
      }
      Ok(latest) if latest.version == current.version => {
        Err("platform unavailable; not written".into())
      }
      Ok(_) => Err("another edit came first; read it and apply again".into()),
      Err(_) => Err("platform unavailable; may have been written".into()),
    },
  }
}

/// Prints objects of the platform, or their names and versions.
pub fn get(args: &[String], platform: &str) -> Result<ExitCode, Report<Error>> {
  let client = client(platform);
  let unavailable = |_| Report::new(Error("platform unavailable".into()));
  let kinds = match args.first() {
    None => Kind::CONFIGURED.to_vec(),
    Some(kind) => {
      let unknown = || Report::new(Error(format!("kind: `{kind}` is unknown")));
      vec![Kind::parse(kind).ok_or_else(unknown)?]
    }
  };
  if let Some(name) = args.get(1) {
    let object = client
      .read(&Name::new(kinds[0], name))
      .map_err(unavailable)?;
    println!("{}", object.value.as_deref().unwrap_or("absent"));
    return Ok(ExitCode::SUCCESS);
  }
  for kind in kinds {
    for (name, version) in client.names(kind).map_err(unavailable)? {
      println!("{}/{name}\t{version}", kind.as_str());
    }
  }
  Ok(ExitCode::SUCCESS)
}
