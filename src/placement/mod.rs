//! Decides which models and adapters backend servers hold: demand, load costs, replicas, evictions
//! and the orders that follow.
//!
//! These are pure decisions of the one instance that holds the lease. Time, reports and results of
//! orders come in, effects go out; nothing here calls a server, the store or another instance.

pub mod adapters;
pub mod ahead;
pub mod basis;
pub mod choose;
pub mod gone;
pub mod models;
pub mod need;
pub mod obstacle;
pub mod orders;
pub mod pace;
pub mod plan;
pub mod publish;
pub mod remote;
pub mod replicas;
pub mod report;
pub mod server;
pub mod urgency;
pub mod work;
