//! Version-controlled objects: checked, and put into the platform.
//!
//! A file holds one object or a list of them, as JSON with comments:
//! `{"kind", "name", "spec"}`.
//! `apply` writes by conditional update against the version it read, so an edit
//! that another made meanwhile is reported and never overwritten.

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

/// Reads of an object before it counts as not to be had: a busy platform may leave one
/// without an answer.
const READS: u32 = 4;
/// Pause between two of them.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// An object, as a file holds it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
  kind: String,
  name: String,
  spec: Value,
}

/// Reads and checks the objects of a file.
pub fn read(path: &Path) -> Result<Vec<(Name, Value)>, String> {
  let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
  match parse_jsonc(&text)? {
    Value::Array(objects) => objects.into_iter().map(object).collect(),
    value => Ok(vec![object(value)?]),
  }
}

fn object(value: Value) -> Result<(Name, Value), String> {
  let file: File = serde_json::from_value(value).map_err(|error| error.to_string())?;
  let kind = Kind::parse(&file.kind).filter(|kind| Kind::CONFIGURED.contains(kind));
  let kind = kind.ok_or_else(|| format!("kind: `{}` is not configuration", file.kind))?;
  if file.name.is_empty() || file.name.contains(['/', '?', ' ']) {
    return Err(format!(
      "name: `{}` is empty or holds `/`, `?` or a space",
      file.name
    ));
  }
  let name = Name::new(kind, file.name);
  Catalog::check(&name, Some(&file.spec.to_string()))?;
  Ok((name, file.spec))
}

/// Faults of a file of settings or of an object.
pub fn validation_errors(path: &Path) -> Vec<String> {
  let text = match std::fs::read_to_string(path) {
    Ok(text) => text,
    Err(error) => return vec![error.to_string()],
  };
  let value = match parse_jsonc(&text) {
    Ok(value) => value,
    Err(error) => return vec![error],
  };
  let fault = match value.get("kind") {
    None if value.is_object() => Settings::parse(&text).err(),
    _ => read(path).err(),
  };
  fault.into_iter().collect()
}

fn files(folder: &Path) -> Result<Vec<PathBuf>, Report<Error>> {
  let unreadable = || Error(format!("could not read `{}`", folder.display()));
  let entries = std::fs::read_dir(folder).change_context_lazy(unreadable)?;
  let mut files = Vec::new();
  for entry in entries {
    let path = entry.change_context_lazy(unreadable)?.path();
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

/// Puts every object of a folder into the platform; all are checked first.
pub fn apply(rest: &[String], platform: &str) -> Result<ExitCode, Report<Error>> {
  let [folder] = rest else {
    return Err(Report::new(Error("apply: name one folder".into())));
  };
  let mut objects = Vec::new();
  let mut catalog = Catalog::default();
  for path in files(Path::new(folder))? {
    let fault = |fault| Report::new(Error(format!("{}: {fault}", path.display())));
    for (name, spec) in read(&path).map_err(fault)? {
      catalog.put(&name, Some(&spec.to_string())).map_err(fault)?;
      objects.push((name, spec));
    }
  }
  if let Some(fault) = catalog.dangling().first() {
    return Err(Report::new(Error(fault.clone())));
  }
  let client = client(platform);
  let mut code = ExitCode::SUCCESS;
  for (name, spec) in objects {
    match put(&client, &name, &spec) {
      Ok(said) => println!("{name}: {said}"),
      Err(fault) => {
        eprintln!("{name}: {fault}");
        code = ExitCode::FAILURE;
      }
    }
  }
  Ok(code)
}

/// Reads an object; a read without answer changes nothing and is repeated.
fn read_held(client: &Client, name: &Name) -> Result<Object, platform::Error> {
  for _ in 1..READS {
    match client.read(name) {
      Ok(held) => return Ok(held),
      Err(error) => {
        eprintln!("{name}: not read, read again: {error:?}");
        thread::sleep(READ_PAUSE);
      }
    }
  }
  client.read(name)
}

/// Writes one object against the version just read.
pub fn put(client: &Client, name: &Name, spec: &Value) -> Result<String, String> {
  let held = read_held(client, name).map_err(|_| "platform unavailable; nothing written")?;
  let same = |held: &Option<String>| {
    let value = held
      .as_deref()
      .and_then(|text| serde_json::from_str::<Value>(text).ok());
    value.as_ref() == Some(spec)
  };
  if same(&held.value) {
    return Ok(format!("unchanged at version {}", held.version));
  }
  match client.write(name, held.version, &spec.to_string()) {
    Ok(version) => Ok(format!("written as version {version}")),
    Err(platform::Error::Conflict) => {
      Err("another edit came first; read it and apply again".into())
    }
    Err(platform::Error::Declined) => Err("the platform declines the value".into()),
    // The answer was lost: what stands there now shows it.
    Err(platform::Error::Unavailable) => match read_held(client, name) {
      Ok(now) if same(&now.value) => Ok(format!("written as version {}", now.version)),
      Ok(now) if now.version == held.version => Err("platform unavailable; not written".into()),
      Ok(_) => Err("another edit came first; read it and apply again".into()),
      Err(_) => Err("platform unavailable; may have been written".into()),
    },
  }
}

/// Prints objects of the platform.
pub fn get(rest: &[String], platform: &str) -> Result<ExitCode, Report<Error>> {
  let client = client(platform);
  let unavailable = |_| Report::new(Error("platform unavailable".into()));
  let kinds = match rest.first() {
    None => Kind::CONFIGURED.to_vec(),
    Some(word) => {
      let unknown = || Report::new(Error(format!("kind: `{word}` is unknown")));
      vec![Kind::parse(word).ok_or_else(unknown)?]
    }
  };
  if let Some(name) = rest.get(1) {
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
