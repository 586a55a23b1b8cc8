//! Injects random faults into a fleet of separate processes and checks its guarantees.
//!
//! Entry hosts (`chestnutrack-entry --direct`) and the stand-in of the platform's store run as
//! processes. Backend servers and callers are part of this program, so that it can compare what
//! callers were answered with what ran. Faults come from outside: signals, relays in front of the
//! store and of each server, errors of the store, servers that fail, leave and are replaced, and
//! changes of the configuration.
//!
//! | responsibility | module |
//! | --- | --- |
//! | processes, relays and the configuration | [`fleet`] |
//! | backend servers that record what they run | [`backend`] |
//! | callers that check and record their answers | [`caller`] |
//! | faults, drawn at random from a seed | [`fault`] |
//! | record of runs and answers, and the guarantees they violate | [`ledger`] |
//! | one run | [`run`] |

pub mod backend;
pub mod caller;
pub mod fault;
pub mod fleet;
pub mod ledger;
pub mod run;
