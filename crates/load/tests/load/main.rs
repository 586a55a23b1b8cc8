//! Experiments, their schedule and their measures; no processes are started.

mod experiment;
mod fixture;
mod measure;
mod verdict;
