//! Puts the request path together, and takes it down again.

use crate::app::App;
use crate::config::{Config, Table};
use crate::dialect::Dialect;
use crate::listener::{self, Drain};
use crate::server::Entry;
use chestnutrack_process::http::{self, Answer};
use chestnutrack_process::shutdown::{self, Shutdown};
use chestnutrack_store::client::{self, Client};
use chestnutrack_store::object::Object;
use chestnutrack_store::watcher::{self, Event};
use displaydoc::Display;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Why the program could not start.
#[derive(Debug, Display)]
pub enum Error {
    /// could not listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// signals could not be listened for: {0}
    Signal(std::io::Error),
}

impl std::error::Error for Error {}

/// Where a platform keeps what the router follows, and how it is read.
#[derive(Clone, Copy, Debug)]
pub struct Directory {
    /// Kind of the object that holds the configuration.
    pub config_kind: &'static str,
    /// Name of that object.
    pub config_name: &'static str,
    /// Reads the configuration.
    pub config: fn(&Value) -> Result<Config, String>,
    /// Kind of the objects that list backend servers.
    pub servers_kind: &'static str,
    /// Reads the entry of a backend server under its name.
    pub server: fn(&Arc<str>, &Value) -> Result<Entry, String>,
}

/// Settings of the program.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub name: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the platform asks whether this host is ready.
    pub readiness: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Times of a shutdown.
    pub drain: Drain,
}

/// Runs the program until SIGTERM, then drains it.
///
/// # Errors
///
/// Why it could not start.
pub async fn run(
    settings: Settings,
    dialect: Dialect,
    directory: Directory,
    client: Client,
) -> Result<(), Error> {
    let shutdown = shutdown::on_signal().map_err(Error::Signal)?;
    let callers = listen(settings.listen).await?;
    let readiness = listen(settings.readiness).await?;
    let app = Arc::new(App::new(dialect, settings.failure_domain.clone()));
    tokio::spawn(answer_readiness(readiness, app.clone(), shutdown.clone()));
    tokio::spawn(follow_config(client.clone(), directory, app.clone()));
    tokio::spawn(follow_servers(client, directory, app.clone()));
    tracing::info!(name = %settings.name, listen = %settings.listen, "serving");
    listener::serve(callers, app, shutdown, settings.drain).await;
    tracing::info!(name = %settings.name, "drained");
    Ok(())
}

/// A client of the platform's store, with the bounds that this program needs.
pub fn store_client(dialect: chestnutrack_store::dialect::Dialect, address: SocketAddr) -> Client {
    let settings = client::Settings { read: READ_WITHIN, ..client::Settings::default() };
    Client::speaking(dialect, address, settings, None)
}

/// Longest time for a list; larger than a single answer takes on a slow day.
const READ_WITHIN: Duration = Duration::from_millis(2_000);

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|error| Error::Listen(address, error))
}

/// Tells the platform whether this host is ready: it knows a configuration and isn't leaving.
async fn answer_readiness(listener: TcpListener, app: Arc<App>, shutdown: Shutdown) {
    let handle = move |request: Request<Incoming>| {
        let ready = app.table().is_some() && !shutdown.is_set();
        let response = readiness(&request, app.dialect.ready_path, ready);
        async move { response }
    };
    http::serve(listener, handle).await;
}

fn readiness(request: &Request<Incoming>, path: &str, ready: bool) -> Response<Answer> {
    let status = match (request.uri().path() == path, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(http::full(""));
    *response.status_mut() = status;
    response
}

async fn follow_config(client: Client, directory: Directory, app: Arc<App>) {
    let mut events = watcher::start(client, directory.config_kind, watcher::Settings::default());
    while let Some(event) = events.recv().await {
        let Event::Updated(update) = event else { continue };
        let newest = update.objects.iter().find(|object| &*object.name == directory.config_name);
        let Some(value) = newest.and_then(|object| object.value.as_ref()) else { continue };
        match (directory.config)(value) {
            Ok(config) => {
                let version = config.version;
                if app.configure(Arc::new(Table::new(config))) {
                    tracing::info!(version, "configuration in force");
                }
            }
            Err(error) => tracing::error!(%error, "configuration can't be read"),
        }
    }
}

async fn follow_servers(client: Client, directory: Directory, app: Arc<App>) {
    let mut events = watcher::start(client, directory.servers_kind, watcher::Settings::default());
    while let Some(event) = events.recv().await {
        let Event::Updated(update) = event else { continue };
        if update.whole {
            let listed = |name: &str| update.objects.iter().any(|object| &*object.name == name);
            app.servers.retain(&listed);
        }
        update.objects.iter().for_each(|object| take_server(&directory, &app, object));
    }
}

fn take_server(directory: &Directory, app: &App, object: &Object) {
    let Some(value) = &object.value else {
        tracing::info!(server = %object.name, "server gone");
        app.servers.remove(&object.name);
        return;
    };
    match (directory.server)(&object.name, value) {
        Ok(entry) => {
            tracing::info!(server = %object.name, leaving = entry.leaving, "server listed");
            app.servers.put(entry);
        }
        Err(error) => {
            tracing::warn!(server = %object.name, %error, "entry names no server");
            app.servers.remove(&object.name);
        }
    }
}
