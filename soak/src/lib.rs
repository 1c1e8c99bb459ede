//! Soak test: runs real instances of bendsaddle as processes against stand-ins of the users'
//! platform, injects random faults, and checks the invariants from what callers and backend
//! servers observed.

pub mod build;
pub mod check;
pub mod customer;
pub mod history;
pub mod leaving;
pub mod load;
pub mod plan;
pub mod said;
pub mod stream;
pub mod switch;
pub mod world;
