//! What backend servers say of themselves in the heads of their answers.

pub mod margin;
mod said;

pub use said::{REPLACED, Said};
