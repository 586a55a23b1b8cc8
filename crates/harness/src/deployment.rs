//! The two deployments that the system is built for, at their current sizes: documents, ports,
//! addresses and keys.

use chestnutrack_document::key::Hash;
use chestnutrack_document::model::{
    Api, Bounds, Document, Key, Kind, Organisation, Pool, Role, Route, Server, Targets,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Port of backend servers.
pub const BACKEND_PORT: u16 = 20_001;
/// Port of side processes for connections from entry hosts.
pub const SIDE_PORT: u16 = 20_002;
/// Admin port of side processes and entry hosts.
pub const ADMIN_PORT: u16 = 20_003;
/// Port of entry hosts for callers.
pub const CALLER_PORT: u16 = 20_004;
/// Port of entry hosts for their peers.
pub const PEER_PORT: u16 = 20_005;
/// Port of the object interface.
pub const PLATFORM_PORT: u16 = 20_006;

/// One of the two deployments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Deployment {
    /// Lakeshore Larder Software: eight engines and four plain services.
    #[default]
    Larder,
    /// Lignées Armor Numérique: twelve engines and three plain services.
    Skrid,
}

/// A block of loopback addresses `127.x.y.0/24`, one address for each host of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct AddressBlock {
    second_octet: u8,
    third_octet: u8,
}

impl AddressBlock {
    /// Returns a random block, which another fleet on the same machine is unlikely to use.
    pub fn random() -> AddressBlock {
        AddressBlock {
            second_octet: rand::random_range(1..=254),
            third_octet: rand::random_range(1..=254),
        }
    }

    /// Returns the IP address of the host with the given number.
    pub fn host(self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, number))
    }

    /// Returns the address of a port on the host with the given number.
    pub fn address(self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(number), port)
    }
}

/// Names and sizes from which the document of a deployment is built.
struct Shape {
    service: &'static str,
    failure_domains: &'static [&'static str],
    model_pool: &'static str,
    prefill: u8,
    decode: u8,
    plain_pool: &'static str,
    plain: u8,
    organisations: &'static [(&'static str, u64)],
}

const LARDER: Shape = Shape {
    service: "larder-orders",
    failure_domains: &["great-lakes-a", "great-lakes-b", "great-lakes-c", "great-lakes-d"],
    model_pool: "larder-llm",
    prefill: 3,
    decode: 5,
    plain_pool: "larder-app",
    plain: 4,
    organisations: &[
        ("cherry-capital", 40_000),
        ("dairy-coop", 40_000),
        ("orchard-stand", 8_000),
        ("honey-shop", 8_000),
        ("bay-bakery", 8_000),
    ],
};

const SKRID: Shape = Shape {
    service: "lignees-registers",
    failure_domains: &["bzh-west-a", "bzh-west-b", "bzh-west-c"],
    model_pool: "skrid-llm",
    prefill: 5,
    decode: 7,
    plain_pool: "gwez-app",
    plain: 3,
    organisations: &[
        ("finistere", 60_000),
        ("morbihan", 60_000),
        ("quebec", 12_000),
        ("louisiane", 12_000),
        ("acadie", 12_000),
    ],
};

/// Burst of an organisation, as seconds of its rate.
const BURST_S: u64 = 4;
/// Concurrent requests of an engine.
const ENGINE_SLOTS: u32 = 20;
/// Concurrent requests of a plain service.
const PLAIN_SLOTS: u32 = 32;
/// KV cache size of an engine, in tokens.
const ENGINE_KV_TOKENS: u64 = 400_000;
/// Bandwidth of an engine's network link, in bytes per second.
const ENGINE_LINK_BYTES_PER_S: u64 = 10_000_000_000;

impl Deployment {
    fn shape(self) -> &'static Shape {
        match self {
            Deployment::Larder => &LARDER,
            Deployment::Skrid => &SKRID,
        }
    }

    /// Returns the name of the service.
    pub fn service(self) -> &'static str {
        self.shape().service
    }

    /// Returns the names of the failure domains.
    pub fn failure_domains(self) -> &'static [&'static str] {
        self.shape().failure_domains
    }

    /// Returns the names of the organisations.
    pub fn organisations(self) -> Vec<Arc<str>> {
        self.shape().organisations.iter().map(|(name, _)| Arc::from(*name)).collect()
    }

    /// Returns the API key of an organisation.
    pub fn key(self, organisation: &str) -> String {
        format!("key-of-{}-{organisation}", self.service())
    }

    /// Returns the document of the deployment, with one host for each backend server, numbered from
    /// `first_host`. `checks_fencing` says whether its servers check fencing numbers.
    pub fn document(self, block: AddressBlock, first_host: u8, checks_fencing: bool) -> Document {
        let shape = self.shape();
        let salt = "a salt for fleets on loopback";
        let server = |index: u8, name: String, role: Role| {
            let domains = shape.failure_domains;
            let host = first_host + index;
            let plain = role == Role::Plain;
            Server {
                name: name.clone().into(),
                side: block.address(host, SIDE_PORT),
                address: block.address(host, BACKEND_PORT),
                host: format!("host-{host}").into(),
                failure_domain: domains[usize::from(index) % domains.len()].into(),
                role,
                checks_fencing,
                slots: if plain { PLAIN_SLOTS } else { ENGINE_SLOTS },
                kv_tokens: if plain { 0 } else { ENGINE_KV_TOKENS },
                link_bytes_per_s: if plain { 0 } else { ENGINE_LINK_BYTES_PER_S },
                leaving: false,
            }
        };
        let models = shape.prefill + shape.decode;
        let model_servers = (0..models).map(|index| {
            let role = if index < shape.prefill { Role::Prefill } else { Role::Decode };
            server(index, format!("{}-{index}", shape.model_pool), role)
        });
        let plain_servers = (0..shape.plain).map(|index| {
            server(models + index, format!("{}-{index}", shape.plain_pool), Role::Plain)
        });
        Document {
            service: shape.service.into(),
            key_salt: salt.into(),
            targets: Targets::default(),
            bounds: Bounds::default(),
            organisations: self.organisation_entries(salt),
            pools: vec![
                Pool {
                    name: shape.model_pool.into(),
                    kind: Kind::Model,
                    servers: model_servers.collect(),
                },
                Pool {
                    name: shape.plain_pool.into(),
                    kind: Kind::Plain,
                    servers: plain_servers.collect(),
                },
            ],
            routes: routes(self, shape),
        }
    }

    /// Returns the organisations, each with one key, the rate of its shape and a burst of [`BURST_S`]
    /// seconds of that rate.
    fn organisation_entries(self, salt: &str) -> Vec<Organisation> {
        let entry = |(name, rate): &(&str, u64)| Organisation {
            name: Arc::from(*name),
            keys: vec![Key {
                id: format!("{name}-1").into(),
                hash: Hash::of(salt, &self.key(name)).to_hex(),
            }],
            rate_tokens_per_s: *rate,
            burst_tokens: rate * BURST_S,
        };
        self.shape().organisations.iter().map(entry).collect()
    }
}

/// Returns the routes of a deployment: completions and chat for all, and the deployment's own routes
/// to its model pool and its plain pool.
fn routes(deployment: Deployment, shape: &Shape) -> Vec<Route> {
    let model = |name: &str, path: &str, api: Api, deadline_ms: u64, may_wait: bool| Route {
        name: name.into(),
        method: "POST".into(),
        path: path.into(),
        api,
        pool: shape.model_pool.into(),
        model: Some(shape.model_pool.into()),
        may_wait,
        deadline_ms,
        once: false,
        idempotent: true,
        open: false,
        cost_tokens: 1,
    };
    let plain = |name: &str, method: &str, path: &str| Route {
        name: name.into(),
        method: method.into(),
        path: path.into(),
        api: Api::Plain,
        pool: shape.plain_pool.into(),
        model: None,
        may_wait: false,
        deadline_ms: 2_000,
        once: false,
        idempotent: false,
        open: false,
        cost_tokens: 10,
    };
    let once = |route: Route| Route { once: true, deadline_ms: 10_000, ..route };
    let idempotent = |route: Route| Route { idempotent: true, ..route };
    let open = |route: Route| Route { open: true, idempotent: true, ..route };
    let mut routes = vec![
        model("chat", "/v1/chat/completions", Api::Chat, 5_000, false),
        model("completions", "/v1/completions", Api::Completions, 5_000, false),
    ];
    routes.extend(match deployment {
        Deployment::Larder => vec![
            model("digest", "/digests/v1/completions", Api::Completions, 60_000, true),
            idempotent(plain("stock", "GET", "/stock/*")),
            once(plain("deposit", "POST", "/deposits")),
            once(plain("booking", "POST", "/bookings")),
            open(plain("hours", "GET", "/hours")),
        ],
        Deployment::Skrid => vec![
            model("transcription", "/registers/v1/completions", Api::Completions, 60_000, true),
            idempotent(plain("lookup", "GET", "/entries/*")),
            once(plain("merge", "POST", "/merges")),
            once(plain("publication", "POST", "/publications")),
            open(plain("archives", "GET", "/archives")),
        ],
    });
    routes
}
