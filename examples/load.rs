//! Generates load on a small site and prints the latencies and outcomes that its callers measure.
//!
//! `load direct` compares requests sent directly to an engine with requests through a node.
//! `load storm` sends a burst of requests within one second, at ten times the capacity. Use a
//! release build.
#![allow(
    clippy::print_stdout,
    reason = "the report goes to the standard output"
)]

use std::process::ExitCode;
use std::time::Duration;

use cuminlb_load::{ArrivalSchedule, LoadPlan, LoadTarget, ProcessUsage, TeamLoad, run_load};
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{ModelPlan, Site, SiteBuilder, SiteError};
use cuminlb_types::prelude::*;
use gumdrop::Options;
use http::Method;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the number of nodes (default 3)")]
    nodes: Option<u32>,
    #[options(help = "requests a second of `direct` (default 200)")]
    rate: Option<RequestsPerSecond>,
    #[options(help = "how long `direct` runs (default 10s)")]
    length: Option<Millis>,
    #[options(no_short, help = "the seed of the arrivals (default 1)")]
    seed: Option<u64>,
    #[options(free, help = "direct or storm")]
    experiment: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let outcome = match arguments.experiment.as_str() {
        "direct" => compare_direct(&arguments).await,
        "storm" => measure_burst(&arguments).await,
        _ => {
            eprintln!(
                "name an experiment: direct or storm\n{}",
                Arguments::usage()
            );
            return ExitCode::from(2);
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Compares requests sent directly to an engine with requests through the nodes, on the same
/// schedule.
async fn compare_direct(arguments: &Arguments) -> Result<(), SiteError> {
    let rate = arguments.rate.unwrap_or(RequestsPerSecond(200.0));
    let duration_ms = arguments.length.unwrap_or(Millis(10_000));
    let engine = EngineOptions {
        first_token_ms: Millis(5),
        token_gap_ms: Millis(5),
        warm_limit: SlotCount(4_096),
        cold_start_ms: Millis(100),
        ..EngineOptions::default()
    };
    let model = ModelPlan::new("oar-assist", 1, 1).engine(engine);
    let nodes = arguments.nodes.unwrap_or(1);
    let site = SiteBuilder::default()
        .nodes(nodes)
        .model(model)
        .start_serving()
        .await?;
    wait_until_warm(&site).await?;
    let schedule = ArrivalSchedule::poisson(rate, duration_ms, arguments.seed.unwrap_or(1));
    let plan = plan(&site, schedule, 16, 1);

    let direct_plan = LoadPlan {
        targets: vec![engine_target(&site).await?],
        ..plan.clone()
    };
    println!("-- straight to the engine\n{}", run_load(direct_plan).await);
    let before = nodes_cpu_time(&site);
    let report = run_load(plan).await;
    let cpu_time = nodes_cpu_time(&site).saturating_sub(before);
    println!("-- through {nodes} node(s)\n{report}");
    let per_core = report.offered() as f64 / cpu_time.as_secs_f64().max(f64::EPSILON);
    println!("processor time of the nodes: {cpu_time:?}; {per_core:.0} requests/s per core");
    site.shut_down().await;
    Ok(())
}

/// Sends a burst of requests within one second on top of a steady load.
async fn measure_burst(arguments: &Arguments) -> Result<(), SiteError> {
    let nodes = arguments.nodes.unwrap_or(3);
    let engine = EngineOptions {
        first_token_ms: Millis(50),
        token_gap_ms: Millis(10),
        warm_limit: SlotCount(16),
        cold_start_ms: Millis(200),
        ..EngineOptions::default()
    };
    let model = ModelPlan::new("oar-assist", 3, 2).engine(engine);
    let site = SiteBuilder::default()
        .nodes(nodes)
        .model(model)
        .start_serving()
        .await?;
    wait_until_warm(&site).await?;
    // A response takes 50 ms plus 16 gaps of 10 ms, and 3 groups with 16 slots run 48 at once.
    let capacity = RequestsPerSecond(48.0 / 0.21);
    let burst = 10.0 * capacity.get();
    let schedule = ArrivalSchedule::burst(burst as u32, Millis(1_000)).merge(
        ArrivalSchedule::poisson(RequestsPerSecond(capacity.get() / 2.0), Millis(10_000), 1),
    );
    println!(
        "-- {nodes} nodes, capacity {:.0}/s, {burst:.0} callers wake at once",
        capacity.get()
    );
    println!("{}", run_load(plan(&site, schedule, 16, 8)).await);
    for (index, upstream) in site.upstreams.iter().enumerate() {
        let highest = site
            .call_upstream(index, Method::GET, "/control/highest")
            .await;
        let highest = highest.map_or_else(|error| error.to_string(), |response| response.text());
        println!(
            "engine {}: at most {highest} requests at once",
            upstream.record.id
        );
    }
    site.shut_down().await;
    Ok(())
}

fn plan(site: &Site, schedule: ArrivalSchedule, tokens: u64, max_retries: u32) -> LoadPlan {
    let team = |name: &str, weight| TeamLoad {
        name: name.to_owned(),
        api_key: format!("key-of-{name}"),
        weight: ShareWeight(weight),
    };
    let target = |node| LoadTarget {
        url: site.caller_url(node, "/v1/chat/completions"),
        headers: Vec::new(),
    };
    LoadPlan {
        targets: (0..site.nodes.len()).map(target).collect(),
        schedule,
        teams: vec![team("suva-rowing", 10), team("lami-juniors", 1)],
        model: "oar-assist".to_owned(),
        tokens: TokenCount(tokens),
        timeout_ms: Millis(30_000),
        max_retries,
        seed: 1,
    }
}

async fn engine_target(site: &Site) -> Result<LoadTarget, SiteError> {
    let report = site
        .call_upstream(0, Method::GET, "/control/report")
        .await?
        .json();
    let membership = &report["membership"];
    let group = membership["group"].as_str().unwrap_or_default().to_owned();
    let headers = vec![
        ("x-cuminlb-group".to_owned(), group),
        (
            "x-cuminlb-epoch".to_owned(),
            membership["epoch"].to_string(),
        ),
        ("x-request-id".to_owned(), "direct".to_owned()),
    ];
    let url = format!(
        "http://{}/v1/chat/completions",
        site.upstreams[0].record.address
    );
    Ok(LoadTarget { url, headers })
}

/// Waits until the cold start of every group is over and their owners know it.
async fn wait_until_warm(site: &Site) -> Result<(), SiteError> {
    cuminlb_test_support::wait_until("every group is warm", async || {
        for upstream in 0..site.upstreams.len() {
            let report = site
                .call_upstream(upstream, Method::GET, "/control/report")
                .await;
            if !report.is_ok_and(|report| report.json()["warm"] == true) {
                return false;
            }
        }
        true
    })
    .await?;
    // The owners read the new state only at their next probe.
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(())
}

/// Returns the total CPU time that the nodes have used.
fn nodes_cpu_time(site: &Site) -> Duration {
    let nodes = site.nodes.iter().filter_map(|node| node.process.id());
    nodes
        .filter_map(ProcessUsage::of)
        .map(|usage| usage.cpu_time)
        .sum()
}
