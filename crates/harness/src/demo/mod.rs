//! Demonstrates one deployment: sends requests and prints the answers and metrics.

use chestnutrack_harness::caller::{self, Answer, Call};
use chestnutrack_harness::{Deployment, Error, Fleet, Settings};

/// Tokens requested by each completion.
const OUTPUT_TOKENS: u32 = 24;
/// Prefix of the metrics that are printed; the other metrics describe the process, not the work.
const METRIC_PREFIX: &str = "chestnutrack_";

/// Starts a deployment, sends requests, prints answers and metrics, and shuts the fleet down.
///
/// # Errors
///
/// Returns the process that failed with the end of its log, or the unexpected answer.
pub(crate) async fn run(deployment: Deployment, tls: bool) -> Result<(), Error> {
    println!("== {} ==", deployment.service());
    let settings = Settings { deployment, tls, ..Settings::default() };
    let mut fleet = Fleet::start(settings).await?;
    println!("{} processes are ready", fleet.process_names().len());
    send_requests(&fleet, deployment).await?;
    fleet.check_alive()?;
    print_counts(&fleet).await?;
    let failed = fleet.shut_down().await;
    if !failed.is_empty() {
        return Err(Error::Other(format!("unclean shutdown: {}", failed.join(", "))));
    }
    println!("every process shut down cleanly\n");
    Ok(())
}

async fn send_requests(fleet: &Fleet, deployment: Deployment) -> Result<(), Error> {
    let organisation = deployment.organisations()[0].clone();
    let key = fleet.key(&organisation);
    let model = fleet.document.pools[0].name.to_string();
    let prompt = "Which pies can be picked up before noon? ".repeat(20);
    let completion = |stream: bool| {
        caller::completion("/v1/completions", &model, &key, &prompt, OUTPUT_TOKENS, stream)
    };
    let streamed = fleet.call(0, &completion(true)).await?;
    print_and_check("streamed completion", &streamed, 200)?;
    expect_whole(&streamed)?;
    let whole = fleet.call(1, &completion(false)).await?;
    print_and_check("whole completion", &whole, 200)?;
    expect_whole(&whole)?;
    let refused = Call { key: Some("not-a-key".to_owned()), ..completion(false) };
    print_and_check("unknown key", &fleet.call(0, &refused).await?, 401)?;
    send_plain_requests(fleet, deployment, &key).await
}

async fn send_plain_requests(
    fleet: &Fleet,
    deployment: Deployment,
    key: &str,
) -> Result<(), Error> {
    let (read_path, once_path) = match deployment {
        Deployment::Larder => ("/stock/honey", "/deposits"),
        Deployment::Skrid => ("/entries/baptisms", "/merges"),
    };
    let get = Call { target: read_path.to_owned(), key: Some(key.to_owned()), ..Call::default() };
    print_and_check("plain call", &fleet.call(0, &get).await?, 200)?;
    let post = Call {
        method: "POST",
        target: once_path.to_owned(),
        key: Some(key.to_owned()),
        headers: vec![("idempotency-key".to_owned(), "order-17".to_owned())],
        body: br#"{"amount": 25}"#.to_vec(),
    };
    let first = fleet.call(0, &post).await?;
    print_and_check("at-most-once call", &first, 200)?;
    let repeat = fleet.call(1, &post).await?;
    print_and_check("repeated call, on another entry host", &repeat, 200)?;
    if first.body != repeat.body {
        return Err(Error::Other("the repeated call got a different answer".to_owned()));
    }
    Ok(())
}

fn print_and_check(label: &str, answer: &Answer, status: u16) -> Result<(), Error> {
    let request = answer.header("x-chestnutrack-request");
    let ran = answer.header("x-chestnutrack-ran");
    println!("-- {label}: status {}, request {request} {ran}", answer.status);
    let text = answer.text();
    let shown: String = text.chars().take(300).collect();
    println!("{shown}");
    if answer.status != status {
        return Err(Error::Other(format!("{label}: status {}, not {status}", answer.status)));
    }
    Ok(())
}

fn expect_whole(answer: &Answer) -> Result<(), Error> {
    let (text, whole) = answer.completion();
    let tokens = text.split_whitespace().count();
    if whole && tokens == usize::try_from(OUTPUT_TOKENS).unwrap_or_default() {
        return Ok(());
    }
    Err(Error::Other(format!("answer is not whole: {tokens} tokens: {text}")))
}

async fn print_counts(fleet: &Fleet) -> Result<(), Error> {
    for index in 0..fleet.settings.entries {
        print_metrics(fleet, &format!("entry-{index}"), fleet.entry_admin(index)).await?;
    }
    let sides = fleet.servers().filter_map(|server| {
        let admin = fleet.side_admin(&server.name)?;
        Some((format!("side-{}", server.name), admin))
    });
    for (name, admin) in sides {
        print_metrics(fleet, &name, admin).await?;
    }
    let counts = fleet.get_json(fleet.platform(), "/control/counts").await?;
    println!("-- platform counted: {counts}");
    Ok(())
}

async fn print_metrics(
    fleet: &Fleet,
    name: &str,
    admin: std::net::SocketAddr,
) -> Result<(), Error> {
    let metrics = fleet.metrics(admin).await?;
    let counted = metrics.lines().filter(|line| {
        line.starts_with(METRIC_PREFIX) && !line.ends_with(" 0") && !line.contains("_bucket")
    });
    println!("-- {name} counted:");
    for line in counted {
        println!("   {}", line.trim_start_matches(METRIC_PREFIX));
    }
    Ok(())
}
