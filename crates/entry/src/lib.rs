//! The program on an entry host: callers' requests, admission, placement, relay.
