//! Settings and configurations: invalid settings are reported together, and an old or invalid
//! configuration changes nothing.

#![allow(clippy::unwrap_used)]

mod fixture;

use chestnutrack_side::settings::{Flags, read};
use chestnutrack_wire::Frame;
use expect_test::expect;
use fixture::{Cluster, EntryHost, configure, state};
use serde_json::json;

#[test]
fn wrong_and_missing_settings_are_reported_together() {
    let flags = Flags {
        listen: Some("nowhere".to_owned()),
        key: Some("key.pem".to_owned()),
        ..Flags::default()
    };
    let environment = |name: &str| (name == "CHESTNUTRACK_KIND").then(|| "cook".to_owned());

    let findings = read(&flags, environment).unwrap_err();

    expect![[r#"
        --name or CHESTNUTRACK_NAME: is missing: the server's name in the document
        --service or CHESTNUTRACK_SERVICE: is missing: the service's name
        --certificate or CHESTNUTRACK_CERTIFICATE: is missing beside the other two files of the identity
        --authorities or CHESTNUTRACK_AUTHORITIES: is missing beside the other two files of the identity
        --listen: `nowhere` is not an IP address with a port
        --admin or CHESTNUTRACK_ADMIN: is missing: an IP address with a port
        --platform or CHESTNUTRACK_PLATFORM: is missing: an IP address with a port
        CHESTNUTRACK_KIND: `cook` is not `engine` or `plain`
        --backend or CHESTNUTRACK_BACKEND: is missing: an IP address with a port
    "#]]
    .assert_eq(&findings.to_string());
}

#[tokio::test]
async fn an_older_or_bad_configuration_changes_nothing() {
    let cluster = Cluster::start().await;
    cluster.configure(5, &cluster.document()).await;
    let host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    let mut leaving = cluster.document();
    leaving.pools[0].servers[1].leaving = true;

    let document = serde_json::to_vec(&leaving).unwrap();
    host.send(&Frame::Configuration { version: 4, document });
    host.send(&Frame::Configuration { version: 6, document: b"{".to_vec() });
    leaving.pools[0].servers[1].leaving = false;
    configure(&cluster.decode, 7, &leaving).await;

    let state = state(&cluster.decode).await;
    assert_eq!((&state["version"], &state["leaving"]), (&json!(7), &json!(false)));
}

#[tokio::test]
async fn an_entry_host_with_an_older_configuration_gets_the_newer_one() {
    let cluster = Cluster::start().await;
    cluster.configure(5, &cluster.document()).await;

    let mut host = EntryHost::connect(cluster.decode.program.listen, "entry-1", 1).await;
    let received = loop {
        let frame = host.connection.receiver.receive().await.unwrap();
        if let Frame::Configuration { version, document } = frame {
            break (version, document);
        }
    };

    assert_eq!(received, (5, serde_json::to_vec(&cluster.document()).unwrap()));
}
