//! Client and message types for the HTTP protocol of model engines.
//!
//! This is the only crate that defines the protocol. All calls are HTTP with JSON bodies. An order is a
//! call that changes the engine's state; a query only reads it. Each order carries a fencing number; an
//! engine that checks these numbers answers an order with 412 if it has seen a higher one. A hold is the
//! memory that one request occupies.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /v1/prefill` | [`order::Prefill`] | 200 [`order::Prefilled`], 503 when memory is full |
//! | `POST /v1/import` | [`order::Import`] | 200 [`order::Imported`], 404 when the KV cache is gone, 503 |
//! | `POST /v1/decode` | [`order::Decode`] | 200, a line of [`order::Line`] for each step |
//! | `POST /v1/resume` | [`order::Resume`] | as decode, from an offset; 404 when not running |
//! | `POST /v1/cancel` | [`order::Cancel`] | 200; frees all that the request holds |
//! | `GET /v1/holds` | | 200 [`order::Holds`] |
//! | `GET /v1/load` | | 200 [`order::Load`], delayed |
//! | `GET /v1/events?after=N` | | 200 [`order::Events`], delayed and with gaps |
//! | `POST /v1/order` | [`order::Order`] | 200, 412 |
//! | `POST /v1/export` | [`order::Export`] | 200, the KV cache's bytes at the link's rate; between engines |

pub mod client;
pub mod error;
pub mod order;
pub mod prefix;
