//! Membership: the table of members, vouching, leases, proof of death.
