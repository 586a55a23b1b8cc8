//! Random faults on a fleet of separate processes, with the promises checked while it runs.
//!
//! Entry hosts (`chestnutrack-entry --direct`) and the stand-in of the platform's store run as
//! processes; backend servers and callers are this program's, so that it sees what callers were
//! told and what ran. Faults come from outside: signals, a relay before the store and before each
//! server, a store that errs, servers that fail, leave and are replaced, changes of the configuration.
//!
//! | what | where |
//! | --- | --- |
//! | the processes, relays and the configuration | [`fleet`] |
//! | servers that note what they run | [`backend`] |
//! | callers that note what they are told | [`caller`] |
//! | faults, drawn from a seed | [`fault`] |
//! | what ran, what was told, and which promise that breaks | [`ledger`] |
//! | one run | [`run`] |

pub mod backend;
pub mod caller;
pub mod fault;
pub mod fleet;
pub mod ledger;
pub mod run;
