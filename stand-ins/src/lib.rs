//! Test doubles for the systems around bendsaddle, with fault injection.
//!
//! They keep their own records, so that guarantees can be checked from outside the process.

pub mod bench;
pub mod budget;
pub mod caller;
pub mod capacity;
pub mod demo;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod http;
pub mod mutation;
pub mod platform;
pub mod proxy;
pub mod replay;
pub mod reservation;
pub mod service;
pub mod store;
pub mod trace;
