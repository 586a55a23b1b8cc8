//! Tests of experiments, their schedules and their measures, without starting processes.

mod experiment;
mod fixture;
mod measure;
mod verdict;
