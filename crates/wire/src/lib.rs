//! Frames exchanged between the system's own processes, and the connections that carry them.
//!
//! A frame is encoded as CBOR in one binary WebSocket message. Every frame that belongs to a request
//! carries the request's identifier and the attempt's number, so that a late or reordered frame is
//! matched to the right attempt. An attempt is one try to serve a request at a backend server; a request
//! that is retried has several.

pub mod codec;
pub mod connection;
pub mod frame;
pub mod id;

pub use codec::{decode, encode};
pub use connection::Connection;
pub use frame::Frame;
pub use id::{Attempt, Request};
