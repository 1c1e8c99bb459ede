//! A small test deployment: a platform, engines behind proxies, and instances that
//! run as threads or as processes.

use crate::{
  caller,
  engine::{Engine, Options, census},
  platform::Platform,
  proxy::Proxy,
  service::Service,
};
use bendsaddle::{fact::MachineState, instance::Instance, object::Kind, settings::Settings};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use std::{
  io::{self, BufRead, BufReader},
  net::SocketAddr,
  path::{Path, PathBuf},
  process::{Child, Command, Stdio},
  time::{Duration, Instant},
};

/// How an instance runs.
pub enum Runner {
  Thread(Box<Instance>),
  Process(Child),
}

/// One instance of the fleet.
pub struct Member {
  pub name: String,
  pub zone: String,
  pub callers: String,
  pub peers: String,
  pub operators: String,
  pub runner: Runner,
}

impl Member {
  /// The instance's `/status` page.
  pub fn status(&self) -> Value {
    caller::get(&self.operators, "/status").body
  }

  /// The configuration in force at the instance.
  pub fn configured(&self) -> Vec<Value> {
    let body = caller::get(&self.operators, "/configuration").body;
    body["configured"].as_array().cloned().unwrap_or_default()
  }

  /// The process ID, `None` if the instance runs as a thread.
  pub fn pid(&self) -> Option<u32> {
    match &self.runner {
      Runner::Process(child) => Some(child.id()),
      Runner::Thread(_) => None,
    }
  }

  /// Sends the process a signal.
  pub fn signal(&self, signal: &str) {
    if let Some(pid) = self.pid() {
      let status = Command::new("kill")
        .args([signal, &pid.to_string()])
        .status();
      drop(status);
    }
  }

  /// Kills the process; has no effect if the instance runs as a thread.
  pub fn kill(&mut self) {
    if let Runner::Process(child) = &mut self.runner {
      let _ = child.kill();
      let _ = child.wait();
    }
  }

  /// Waits until the instance has exited and returns whether it succeeded.
  pub fn wait(&mut self) -> bool {
    match &mut self.runner {
      Runner::Process(child) => child.wait().is_ok_and(|status| status.success()),
      Runner::Thread(instance) => {
        instance.wait();
        true
      }
    }
  }
}

impl Drop for Member {
  fn drop(&mut self) {
    self.kill();
  }
}

/// Configuration of a fleet.
pub struct Plan {
  /// Binary of the instances, `None` to run them as threads.
  pub program: Option<PathBuf>,
  pub engines: Vec<Options>,
  pub models: Vec<(String, Value)>,
  pub policies: Vec<(String, Value)>,
  pub instances: usize,
  /// Limits that differ from the defaults.
  pub limits: Value,
  /// Delay until a state change of a machine shows in the platform's list.
  pub lag: Duration,
  pub services: usize,
  /// Duration of a call of a plain service.
  pub service_time: Duration,
}

impl Default for Plan {
  fn default() -> Self {
    Self {
      program: None,
      engines: Vec::new(),
      models: Vec::new(),
      policies: Vec::new(),
      instances: 3,
      limits: json!({}),
      lag: Duration::from_millis(100),
      services: 0,
      service_time: Duration::from_millis(1),
    }
  }
}

impl Plan {
  /// Runs the instances as processes of this binary.
  pub fn program(mut self, program: impl AsRef<Path>) -> Self {
    self.program = Some(program.as_ref().into());
    self
  }

  /// Adds `count` engines whose default options are modified by `with`.
  pub fn engines(mut self, count: usize, with: impl Fn(&mut Options)) -> Self {
    for _ in 0..count {
      let mut options = Options::named(&format!("server-{}", self.engines.len()));
      with(&mut options);
      self.engines.push(options);
    }
    self
  }

  /// Adds a model with its memory size in MB.
  pub fn model(mut self, name: &str, memory_mb: u64) -> Self {
    let value = json!({ "memoryMb": memory_mb, "labels": { "name": name } });
    self.models.push((name.into(), value));
    self
  }

  /// Adds an adapter for the model `base`.
  pub fn adapter(mut self, name: &str, base: &str, memory_mb: u64) -> Self {
    let value = json!({ "memoryMb": memory_mb, "base": base, "labels": { "name": name } });
    self.models.push((name.into(), value));
    self
  }

  /// Adds a policy.
  pub fn policy(mut self, name: &str, value: Value) -> Self {
    self.policies.push((name.into(), value));
    self
  }

  /// Sets the number of instances.
  pub fn instances(mut self, count: usize) -> Self {
    self.instances = count;
    self
  }

  /// Sets limits of the instances.
  pub fn limits(mut self, limits: Value) -> Self {
    self.limits = limits;
    self
  }

  /// Sets the number of plain service runners and the duration of a call.
  pub fn services(mut self, count: usize, time: Duration) -> Self {
    self.services = count;
    self.service_time = time;
    self
  }

  /// Starts the fleet and waits until every instance serves.
  pub fn start(self) -> io::Result<Fleet> {
    let platform = Platform::bind("127.0.0.1:0", self.lag)?;
    let mut engines = Vec::new();
    let mut proxies = Vec::new();
    for mut options in self.engines {
      options.platform = Some(platform.clone());
      let engine = Engine::bind("127.0.0.1:0", options)?;
      let proxy = Proxy::bind(engine.address)?;
      engines.push(engine);
      proxies.push(proxy);
    }
    let mut services = Vec::new();
    let mut service_proxies = Vec::new();
    for _ in 0..self.services {
      let service = Service::bind("127.0.0.1:0", self.service_time)?;
      service_proxies.push(Proxy::bind(service.address)?);
      services.push(service);
    }
    let mut fleet = Fleet {
      platform_proxy: Proxy::bind(platform.address)?,
      platform,
      engines,
      proxies,
      services,
      service_proxies,
      members: Vec::new(),
      program: self.program,
      limits: self.limits,
      started: 0,
    };
    fleet.configure(&self.models, &self.policies);
    for _ in 0..self.instances {
      fleet.add()?;
    }
    fleet.wait_until_ready();
    Ok(fleet)
  }
}

/// A running deployment.
pub struct Fleet {
  pub platform: Platform,
  /// Proxy between the instances and the platform.
  pub platform_proxy: Proxy,
  pub engines: Vec<Engine>,
  /// Proxies in front of the engines, in the same order.
  pub proxies: Vec<Proxy>,
  pub services: Vec<Service>,
  pub service_proxies: Vec<Proxy>,
  pub members: Vec<Member>,
  program: Option<PathBuf>,
  limits: Value,
  started: usize,
}

/// Availability zones of the fleet.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Fleet {
  fn configure(&self, models: &[(String, Value)], policies: &[(String, Value)]) {
    for (at, (engine, proxy)) in self.engines.iter().zip(&self.proxies).enumerate() {
      let options = engine.options();
      let value = json!({ "address": proxy.address.to_string(), "zone": ZONES[at % ZONES.len()],
        "memoryMb": options.memory_mb, "slots": options.slots, "fencing": options.fencing,
        "labels": { "name": options.name } });
      self.platform.put(Kind::Server, &options.name, value);
      self
        .platform
        .machine(&options.name, None, MachineState::Live);
    }
    for (name, value) in models {
      self.platform.put(Kind::Model, name, value.clone());
    }
    for (name, value) in policies {
      self.platform.put(Kind::Policy, name, value.clone());
    }
    if !self.services.is_empty() {
      let proxies = self.service_proxies.iter();
      let addresses: Vec<_> = proxies.map(|proxy| proxy.address.to_string()).collect();
      let value = json!({ "addresses": addresses, "repeatable": ["/status"] });
      self.platform.put(Kind::Service, "portal", value);
    }
  }

  fn settings(&self, name: &str, zone: &str) -> Value {
    let seeds: Vec<&String> = self.members.iter().map(|member| &member.peers).collect();
    json!({ "instance": name, "zone": zone, "callers": "127.0.0.1:0", "peers": "127.0.0.1:0",
      "operators": "127.0.0.1:0", "platform": self.platform_proxy.address.to_string(),
      "seeds": seeds, "limits": self.limits })
  }

  /// Starts another instance and adds it to the platform's machine list.
  pub fn add(&mut self) -> io::Result<()> {
    let number = self.started;
    self.started += 1;
    self.start_instance(&format!("entry-{number}"), ZONES[number % ZONES.len()])
  }

  /// Kills an instance and starts it again under its name, at other addresses.
  pub fn restart(&mut self, at: usize) -> io::Result<()> {
    let name = self.members[at].name.clone();
    let zone = self.members[at].zone.clone();
    self.kill(at);
    self.start_instance(&name, &zone)
  }

  fn start_instance(&mut self, name: &str, zone: &str) -> io::Result<()> {
    let settings = self.settings(name, zone);
    let mut member = match &self.program {
      Some(program) => start_process(program, name, &settings)?,
      None => start_thread(name, &settings)?,
    };
    member.zone = zone.into();
    let peers = member.peers.clone();
    self.platform.machine(name, Some(peers), MachineState::Live);
    self.members.push(member);
    Ok(())
  }

  /// Kills an instance. The platform's machine list shows it after its lag.
  pub fn kill(&mut self, at: usize) {
    let mut member = self.members.remove(at);
    member.kill();
    self
      .platform
      .machine(&member.name, None, MachineState::Gone);
  }

  /// Waits until every instance serves, has its configuration and sees all others.
  pub fn wait_until_ready(&self) {
    let count = self.members.len();
    for member in &self.members {
      wait_for("an instance that sees the fleet", || {
        let status = member.status();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let alive = members.iter().filter(|member| member["health"] == "Alive");
        let configured = status["configured"].as_u64() > Some(0);
        status["serving"] == true && alive.count() >= count && configured
      });
    }
  }

  /// The address of an instance for callers; the index wraps around.
  pub fn callers(&self, at: usize) -> &str {
    &self.members[at % self.members.len()].callers
  }

  /// Index of the engine with this name, 0 if there is none.
  pub fn engine(&self, name: &str) -> usize {
    let found = self.engines.iter().position(|engine| engine.name() == name);
    found.unwrap_or_default()
  }

  /// Violations that the engines recorded, and differences from the platform records.
  pub fn violations(&self) -> Vec<String> {
    let engines = self.engines.iter();
    let mut faults: Vec<String> = engines.flat_map(Engine::violations).collect();
    faults.extend(census(&self.platform, &self.engines));
    faults
  }

  /// Replicas of a model on all engines, ready or not.
  pub fn loaded(&self, model: &str) -> usize {
    let residents = self.engines.iter().flat_map(Engine::residents);
    residents.filter(|(resident, _)| resident == model).count()
  }

  /// Total number of requests that wait at the instances.
  pub fn waiting(&self) -> u64 {
    let waiting = self
      .members
      .iter()
      .map(|member| member.status()["waiting"].as_u64());
    waiting.flatten().sum()
  }

  /// Total number of started loads on all engines.
  pub fn loads(&self) -> u64 {
    self.engines.iter().map(Engine::loads).sum()
  }
}

fn start_thread(name: &str, settings: &Value) -> io::Result<Member> {
  let settings = Settings::parse(&settings.to_string()).map_err(io::Error::other)?;
  let instance = Instance::spawn(settings, Logger::root(Discard, o!()))?;
  Ok(Member {
    name: name.into(),
    zone: String::new(),
    callers: instance.callers.to_string(),
    peers: instance.peers.to_string(),
    operators: instance.operators.to_string(),
    runner: Runner::Thread(Box::new(instance)),
  })
}

fn start_process(program: &Path, name: &str, settings: &Value) -> io::Result<Member> {
  let folder = std::env::temp_dir().join(format!("bendsaddle-{}", std::process::id()));
  std::fs::create_dir_all(&folder)?;
  let path = folder.join(format!("{name}-{:016x}.jsonc", rand::random::<u64>()));
  std::fs::write(&path, settings.to_string())?;
  let log = match std::env::var_os("BENDSADDLE_TEST_LOG") {
    Some(_) => Stdio::inherit(),
    None => Stdio::null(),
  };
  let mut child = Command::new(program)
    .args(["serve", "--settings"])
    .arg(&path)
    // Required for every deployment by docs/OPERATIONS.md.
    .env("MALLOC_ARENA_MAX", "2")
    .stdout(Stdio::piped())
    .stderr(log)
    .spawn()?;
  let stdout = child
    .stdout
    .take()
    .ok_or_else(|| io::Error::other("instance has no stdout"))?;
  let mut lines = BufReader::new(stdout).lines();
  let ports = loop {
    let line = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
    let value: Value = serde_json::from_str(&line).map_err(io::Error::other)?;
    // Log lines may precede the line with the ports.
    if value.get("msg").is_none() {
      break value;
    }
  };
  std::fs::remove_file(&path)?;
  let echo = std::env::var_os("BENDSADDLE_TEST_LOG").is_some();
  std::thread::spawn(move || {
    for line in lines.map_while(Result::ok) {
      if echo {
        eprintln!("{line}");
      }
    }
  });
  let port = |field: &str| ports[field].as_str().unwrap_or_default().to_string();
  Ok(Member {
    name: name.into(),
    zone: String::new(),
    callers: port("callers"),
    peers: port("peers"),
    operators: port("operators"),
    runner: Runner::Process(child),
  })
}

/// Waits for a condition and panics after 60 s, far longer than it should take.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
  let until = Instant::now() + Duration::from_secs(60);
  while !condition() {
    assert!(Instant::now() < until, "timed out waiting for {what}");
    std::thread::sleep(Duration::from_millis(10));
  }
}

/// A local address on which nothing listens.
pub fn unused_address() -> io::Result<SocketAddr> {
  std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}
