//! Placement: which decode and which prefill server a request goes to.
