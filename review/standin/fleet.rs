//! Starts the entry hosts as the deploy file says, and ends them.

use crate::http::Channel;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{fs, thread};

pub struct Host {
    pub name: String,
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    internal: u16,
    store: SocketAddr,
    child: Option<Child>,
}

/// The words of `run` in the deploy file.
fn command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find(|line| line.starts_with("run = "))?;
    Some(line.split('"').nth(1)?.split(' ').map(str::to_owned).collect())
}

/// Returns a loopback address on which the operators' port is free.
pub fn free_ip(seed: u32) -> Option<String> {
    (0..200).find_map(|step| {
        let number = seed.wrapping_mul(2_654_435_761).wrapping_add(step * 7_919);
        let ip = format!(
            "127.{}.{}.{}",
            10 + number % 200,
            (number >> 8) % 250,
            1 + (number >> 16) % 250
        );
        TcpListener::bind((ip.as_str(), 9464)).ok().map(|_| ip)
    })
}

fn free_port(ip: &str) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Host {
    /// Prepares a host. `internal` is the first port for its peers.
    pub fn new(
        folder: &std::path::Path,
        name: &str,
        ip: &str,
        internal: u16,
        store: SocketAddr,
    ) -> std::io::Result<Host> {
        let address = |port| SocketAddr::new(ip.parse().unwrap(), port);
        let host = Host {
            name: name.to_owned(),
            frontend: address(free_port(ip)?),
            readiness: address(free_port(ip)?),
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            internal,
            store,
            child: None,
        };
        host.write_settings(true)?;
        Ok(host)
    }

    /// Writes the settings file. `bootstrap` says whether the whole system starts for the first time.
    pub fn write_settings(&self, bootstrap: bool) -> std::io::Result<()> {
        let (ip, internal, store) = (self.frontend.ip(), self.internal, self.store);
        let text = format!(
            r#"{{"nodeName":"{}","role":"entry","machineClass":"frontend","serves":["frontend"],"ip":"{ip}","zone":"zone-a","region":"region-a","zones":{{"zone-a":"region-a"}},"listen":{{"frontend":"{}","readiness":"{}"}},"internalPortRange":[{internal},{}],"seedNodes":[],"bootstrap":{bootstrap},"faultCounted":false,"limits":{{"cpuShare":0.19,"cores":1,"memoryMb":260,"fileDescriptors":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"virtual_ip","heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"],"faultTolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"stretchMaxMs":5000,"revokeFailClosed":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetExtra":58,"quotaWindowS":8,"quotaOvershoot":0.1,"quotaSlack":120000,"recoveryS":12,"transitMs":120,"retryAfterS":3,"fencingEnforced":false,"leaseMs":3000,"thawSlackMs":300}},"platform":{{"address":"{store}","form":"objects","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            self.name,
            self.frontend,
            self.readiness,
            internal + 15
        );
        fs::File::create(&self.settings)?.write_all(text.as_bytes())
    }

    pub fn start(&mut self, pids: &std::path::Path) -> Result<(), String> {
        let words = command().ok_or("deploy/system.toml can't be read")?;
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env("CHESTNUTRACK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", words[0]))?;
        if let Ok(mut file) = fs::OpenOptions::new().create(true).append(true).open(pids) {
            let _ = writeln!(file, "{}", child.id());
        }
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(mut channel) = Channel::open(self.readiness)
                && let Ok(answer) =
                    channel.call("GET /v1/readiness HTTP/1.1\r\nHost: balancer\r\n\r\n", b"")
                && answer.status() == 200
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} isn't ready", self.name))
    }

    /// Sends SIGTERM, with the shell's own `kill`: the standard library has no call for it.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh").arg("-c").arg(format!("kill -TERM {}", child.id())).status();
        }
    }

    /// Waits until the process has ended by itself, and returns whether it has within `limit`.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self
                .child
                .as_mut()
                .is_none_or(|child| child.try_wait().is_ok_and(|ended| ended.is_some()))
            {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
