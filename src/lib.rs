//! bendsaddle: a serving system for rarely used models.
//!
//! A library with thin daemons. One reducer takes in everything that happens as
//! events and answers with effects; threads around it turn effects into calls
//! and their answers into events.

pub mod admit;
pub mod apply;
pub mod ask;
pub mod attempt;
pub mod audit;
pub mod batch;
pub mod batches;
pub mod bucket;
pub mod call;
pub mod callers;
pub mod catalog;
pub mod claim;
pub mod claims;
pub mod compare;
pub mod completions;
pub mod decide;
pub mod effect;
pub mod engine;
pub mod event;
pub mod fact;
pub mod facts;
pub mod gossip;
pub mod group;
pub mod history;
pub mod instance;
pub mod job;
pub mod jobs;
pub mod journal;
pub mod learn;
pub mod ledger;
pub mod members;
pub mod metrics;
pub mod notice;
pub mod object;
pub mod operators;
pub mod order;
pub mod outcomes;
pub mod peer;
pub mod place;
pub mod platform;
pub mod policy;
pub mod pool;
pub mod record;
pub mod reduce;
pub mod refusal;
pub mod rendezvous;
pub mod replica;
pub mod reply;
pub mod report;
pub mod run;
pub mod selector;
pub mod server;
pub mod services;
pub mod settings;
pub mod share;
pub mod shared;
pub mod state;
pub mod status;
pub mod submissions;
pub mod timeline;
pub mod update;
pub mod verdict;
pub mod watchers;
pub mod web;
#[allow(missing_docs, clippy::all)]
pub mod wire;
