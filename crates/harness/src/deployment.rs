//! The two deployments that the system is built for, at their sizes of today.

use chestnutrack_document::key::Hash;
use chestnutrack_document::model::{
    Api, Bounds, Document, Key, Kind, Organisation, Pool, Role, Route, Server, Targets,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Port on which every backend server listens.
pub const BACKEND_PORT: u16 = 20_001;
/// Port on which every side process listens for entry hosts.
pub const SIDE_PORT: u16 = 20_002;
/// Port for operators of every process.
pub const ADMIN_PORT: u16 = 20_003;
/// Port on which every entry host listens for callers.
pub const CALLER_PORT: u16 = 20_004;
/// Port on which every entry host listens for its peers.
pub const PEER_PORT: u16 = 20_005;
/// Port of the object interface.
pub const PLATFORM_PORT: u16 = 20_006;

/// Which deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Deployment {
    /// Lakeshore Larder Software: eight model replicas and four of the application.
    #[default]
    Larder,
    /// Lignées Armor Numérique: twelve model replicas and three of the application.
    Skrid,
}

/// A block of loopback addresses, one for each host of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct AddressBlock {
    second_octet: u8,
    third_octet: u8,
}

impl AddressBlock {
    /// A block that no other fleet on this machine is likely to use.
    pub fn random() -> AddressBlock {
        AddressBlock {
            second_octet: rand::random_range(1..=254),
            third_octet: rand::random_range(1..=254),
        }
    }

    /// Address of the host with a number.
    pub fn host(self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second_octet, self.third_octet, number))
    }

    /// Address of a port on the host with a number.
    pub fn address(self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(number), port)
    }
}

/// Shape of a deployment: what its document is made from.
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

/// Seconds of its rate that an organisation may use at once.
const BURST_S: u64 = 4;
/// Requests that a model engine runs at once.
const ENGINE_SLOTS: u32 = 20;
/// Requests that a plain service runs at once.
const PLAIN_SLOTS: u32 = 32;
/// Engine memory, in tokens.
const ENGINE_KV_TOKENS: u64 = 400_000;
/// Rate of a model server's link, in bytes a second.
const ENGINE_LINK_BYTES_PER_S: u64 = 10_000_000_000;

impl Deployment {
    fn shape(self) -> &'static Shape {
        match self {
            Deployment::Larder => &LARDER,
            Deployment::Skrid => &SKRID,
        }
    }

    /// Name of the service.
    pub fn service(self) -> &'static str {
        self.shape().service
    }

    /// Names of the failure domains.
    pub fn failure_domains(self) -> &'static [&'static str] {
        self.shape().failure_domains
    }

    /// Names of the organisations.
    pub fn organisations(self) -> Vec<Arc<str>> {
        self.shape().organisations.iter().map(|(name, _)| Arc::from(*name)).collect()
    }

    /// The key that an organisation of the deployment calls with.
    pub fn key(self, organisation: &str) -> String {
        format!("key-of-{}-{organisation}", self.service())
    }

    /// The deployment's document, with backend servers on hosts from `first_host` on.
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
