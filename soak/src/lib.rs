//! Random faults against real instances of bendsaddle, as processes before stand-ins
//! of the users' platform, with the promises checked from what callers and backend
//! servers saw.

pub mod check;
pub mod history;
pub mod leaving;
pub mod load;
pub mod plan;
pub mod said;
pub mod switch;
pub mod world;
