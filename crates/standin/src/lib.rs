//! Stand-ins of the object interface, model engines and plain services.
