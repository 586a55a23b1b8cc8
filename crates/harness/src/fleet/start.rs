//! Starts the processes of a fleet with their arguments.

use super::{FIRST_ENTRY_HOST, Fleet};
use crate::deployment::{ADMIN_PORT, CALLER_PORT, PEER_PORT, SIDE_PORT};
use crate::error::Error;
use crate::link::Link;
use crate::process::Process;
use chestnutrack_document::model::{Role, Server};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Port on each host of the relay in front of the object interface.
const LINK_PORT: u16 = 20_010;

impl Fleet {
    /// Starts the stand-in of the object interface and lists the hosts of all backend servers as live.
    pub(super) async fn start_platform(&mut self) -> Result<(), Error> {
        let listen = self.platform();
        let arguments = arguments(&[("--listen", &listen)]);
        self.spawn("platform", "chestnutrack-standin", with_subcommand("platform", arguments))?;
        self.wait_for("platform", listen, "/v1/hosts").await?;
        let host = |server: &Server| {
            json!({
                "name": server.host,
                "failure_domain": server.failure_domain,
                "state": "live",
            })
        };
        let hosts: Vec<Value> = self.servers().map(host).collect();
        self.control(listen, "hosts", &json!({ "hosts": hosts })).await?;
        Ok(())
    }

    /// Starts a stand-in for a backend server: an engine or a plain service, according to its role.
    pub(super) fn start_backend(&mut self, server: &Server) -> Result<(), Error> {
        let name = format!("backend-{}", server.name);
        let mut options = arguments(&[("--listen", &server.address), ("--slots", &server.slots)]);
        if server.role == Role::Plain {
            options.extend(self.settings.plain_arguments.clone());
            return self.spawn(&name, "chestnutrack-standin", with_subcommand("plain", options));
        }
        options.extend(arguments(&[
            ("--kv-tokens", &server.kv_tokens),
            ("--link-bytes-per-s", &server.link_bytes_per_s),
            ("--checks-fencing", &server.checks_fencing),
        ]));
        options.extend(self.settings.engine_arguments.clone());
        self.spawn(&name, "chestnutrack-standin", with_subcommand("engine", options))
    }

    /// Starts the side process of a backend server, and a relay in front of it if the document names
    /// another address than the one on which the process listens.
    pub(super) async fn start_side(&mut self, server: &Server) -> Result<(), Error> {
        let name = format!("side-{}", server.name);
        let ip = server.address.ip();
        let listen = SocketAddr::new(ip, SIDE_PORT);
        if server.side != listen {
            self.start_link(&name, server.side, listen).await?;
        }
        let kind = if server.role == Role::Plain { "plain" } else { "engine" };
        let platform = self.platform_address_for(&name, ip).await?;
        let mut options = arguments(&[
            ("--name", &server.name),
            ("--service", &self.document.service),
            ("--listen", &listen),
            ("--admin", &SocketAddr::new(ip, ADMIN_PORT)),
            ("--platform", &platform),
            ("--kind", &kind),
            ("--backend", &server.address),
        ]);
        options.extend(self.identity_arguments());
        self.spawn(&name, "chestnutrack-side", options)
    }

    /// Starts an entry host; the hosts take turns in the failure domains.
    pub(super) async fn start_entry(&mut self, index: u8) -> Result<(), Error> {
        let name = format!("entry-{index}");
        let host = FIRST_ENTRY_HOST + index;
        let domains = self.settings.deployment.failure_domains();
        let platform = self.platform_address_for(&name, self.block.host(host)).await?;
        let mut options = arguments(&[
            ("--name", &name),
            ("--service", &self.document.service),
            ("--listen", &self.block.address(host, CALLER_PORT)),
            ("--peer-listen", &self.block.address(host, PEER_PORT)),
            ("--admin", &self.block.address(host, ADMIN_PORT)),
            ("--platform", &platform),
            ("--failure-domain", &domains[usize::from(index) % domains.len()]),
        ]);
        options.extend(self.identity_arguments());
        self.spawn(&name, "chestnutrack-entry", options)
    }

    /// Returns the address at which a process calls the object interface; with links, that of a relay,
    /// which this function starts.
    pub(super) async fn platform_address_for(
        &mut self,
        name: &str,
        ip: std::net::IpAddr,
    ) -> Result<SocketAddr, Error> {
        let platform = self.platform();
        if !self.settings.links {
            return Ok(platform);
        }
        let address = SocketAddr::new(ip, LINK_PORT);
        self.start_link(&format!("platform-{name}"), address, platform).await?;
        Ok(address)
    }

    /// Starts a relay and keeps it under its name.
    pub(super) async fn start_link(
        &mut self,
        name: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> Result<(), Error> {
        let link = Link::start(listen, target).await;
        let link = link.map_err(|error| Error::Start(format!("link {name}"), error))?;
        self.links.insert(name.to_owned(), link);
        Ok(())
    }

    /// Returns the TLS arguments of a process (certificate, key and authorities), none without TLS.
    pub(super) fn identity_arguments(&self) -> Vec<String> {
        if !self.settings.tls {
            return Vec::new();
        }
        let file = |name: &str| self.folder.path().join(name).display().to_string();
        arguments(&[
            ("--certificate", &file("process.pem")),
            ("--key", &file("process.key")),
            ("--authorities", &file("authority.pem")),
        ])
    }

    /// Starts a program that logs into the fleet's folder, and keeps its process under its name.
    pub(super) fn spawn(
        &mut self,
        name: &str,
        program: &str,
        options: Vec<String>,
    ) -> Result<(), Error> {
        let log = self.folder.path().join(format!("{name}.log"));
        let process = Process::start(name, &self.programs.join(program), options, log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }
}

fn arguments(pairs: &[(&str, &dyn std::fmt::Display)]) -> Vec<String> {
    pairs.iter().flat_map(|(flag, value)| [(*flag).to_owned(), value.to_string()]).collect()
}

fn with_subcommand(subcommand: &str, mut options: Vec<String>) -> Vec<String> {
    options.insert(0, subcommand.to_owned());
    options
}
