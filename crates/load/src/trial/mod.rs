//! Trials: a system of real processes under open-loop load, with faults on a schedule.

pub mod balancer;
pub mod caller;
pub mod check;
pub mod faults;
pub mod figures;
pub mod fleet;
pub mod process;
pub mod run;
pub mod sse;
pub mod system;
