use std::process::ExitCode;

fn main() -> ExitCode {
  bendsaddle::run::run()
}
