//! One backend server as its side process sees it: slots, waiting, leases, transfers.
