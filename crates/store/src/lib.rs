//! Client of the platform's object interface, with plain structs for its protocol.
//!
//! The object interface (in short: the interface) is the platform's store of versioned objects. An object
//! has a kind, a name within the kind, and a JSON value. A watch waits for changes to the objects of a
//! kind.
//!
//! The system calls the interface only through this client. A [`dialect::Dialect`] defines the
//! wire format; the project's own is
//!
//! | call | request | response |
//! | --- | --- | --- |
//! | read | `GET /v1/objects/{kind}/{name}` | 200 [`object::Object`], 404 |
//! | list | `GET /v1/objects/{kind}` | 200 [`object::List`] |
//! | write | `PUT /v1/objects/{kind}/{name}`, `if-match: VERSION` (0: must not exist) | 200 [`object::Written`], 409 [`object::Conflict`] |
//! | delete | `DELETE /v1/objects/{kind}/{name}`, `if-match: VERSION` | 200 [`object::Written`], 409, 404 |
//! | watch | `GET /v1/watch/{kind}?after=VERSION&wait_ms=N` | 200 [`object::List`], empty after `wait_ms`; 410 when changes after VERSION are no longer held |
//! | hosts | `GET /v1/hosts` | 200 [`host::List`] |
//!
//! Status 503 means that the call was not applied. Versions come from one counter for the whole
//! interface and only grow. A write without `if-match` is unconditional; the system never makes
//! one.

pub mod backoff;
pub mod client;
pub mod dialect;
pub mod epoch;
pub mod error;
pub mod host;
pub mod object;
pub mod poller;
pub mod watcher;
