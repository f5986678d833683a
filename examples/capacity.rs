//! Measures the control overhead of a node at several site sizes, and fits a line to each series.
//!
//! Every point is measured on a separate site, which receives no requests from callers unless a
//! rate is given. Use a release build; `docs/CAPACITY.md` has a table that this program printed.
#![allow(
    clippy::print_stdout,
    reason = "the report goes to the standard output"
)]

use std::process::ExitCode;
use std::time::Duration;

use cuminlb_load::{
    ArrivalSchedule, LinearFit, LoadPlan, LoadTarget, ProcessUsage, TeamLoad, run_load,
};
use cuminlb_standins::{EngineOptions, TrafficReport};
use cuminlb_test_support::{ModelPlan, Site, SiteBuilder, SiteError};
use cuminlb_types::prelude::*;

/// The time that a site is left to settle before a measurement.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// The duration of a measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// The size of one measured site and the request rate that it receives.
#[derive(Clone, Copy, Debug)]
struct SiteSize {
    nodes: u32,
    groups: u32,
    members: u32,
    rate: RequestsPerSecond,
}

/// The resource usage of one site, averaged per node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeCost {
    cpu_percent: f64,
    cpu_percent_max: f64,
    resident_mb: f64,
    table_reads_per_s: f64,
    table_writes_per_s: f64,
    platform_bytes_per_s: f64,
    probe_calls_per_s: f64,
    probe_bytes_per_s: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), SiteError> {
    println!(
        "nodes groups members rate/s | cpu % mean max | MB | table reads/s writes/s | \
         platform B/s | probes/s B/s   (all for each node)"
    );
    let idle = RequestsPerSecond(0.0);
    let size = |nodes, groups, members| SiteSize {
        nodes,
        groups,
        members,
        rate: idle,
    };
    let by_nodes = [3, 6, 9, 15].map(|nodes| size(nodes, 3, 4));
    let by_groups = [1, 4, 8, 12].map(|groups| size(3, groups, 4));
    let by_members = [2, 8, 16, 32].map(|members| size(3, 1, members));
    let by_rate = [50.0, 100.0, 200.0].map(|rate| SiteSize {
        rate: RequestsPerSecond(rate),
        ..size(3, 3, 4)
    });

    let costs = measure_all(&by_nodes).await?;
    print_fits("nodes", &by_nodes.map(|size| f64::from(size.nodes)), &costs);
    let costs = measure_all(&by_groups).await?;
    print_fits(
        "groups a node",
        &by_groups.map(|size| f64::from(size.groups) / 3.0),
        &costs,
    );
    let costs = measure_all(&by_members).await?;
    let members = by_members.map(|size| f64::from(size.members) / 3.0);
    print_fits("members a node", &members, &costs);
    let costs = measure_all(&by_rate).await?;
    print_fits(
        "requests/s a node",
        &by_rate.map(|size| size.rate.get() / 3.0),
        &costs,
    );
    Ok(())
}

async fn measure_all(sizes: &[SiteSize]) -> Result<Vec<NodeCost>, SiteError> {
    let mut costs = Vec::new();
    for size in sizes {
        let cost = measure(*size).await?;
        print_cost(*size, &cost);
        costs.push(cost);
    }
    Ok(costs)
}

async fn measure(size: SiteSize) -> Result<NodeCost, SiteError> {
    let engine = EngineOptions {
        warm_limit: SlotCount(256),
        ..EngineOptions::default()
    };
    let model = ModelPlan::new("oar-assist", size.groups, size.members).engine(engine);
    let site = SiteBuilder::default()
        .nodes(size.nodes)
        .model(model)
        .start_serving()
        .await?;
    tokio::time::sleep(SETTLING_TIME).await;
    let before = UsageTotals::of(&site).await?;
    if size.rate.get() > 0.0 {
        run_load(plan(&site, size.rate)).await;
    } else {
        tokio::time::sleep(MEASUREMENT_TIME).await;
    }
    let after = UsageTotals::of(&site).await?;
    site.shut_down().await;
    Ok(after.cost_since(&before, f64::from(size.nodes)))
}

fn plan(site: &Site, rate: RequestsPerSecond) -> LoadPlan {
    let target = |node| LoadTarget {
        url: site.caller_url(node, "/v1/chat/completions"),
        headers: Vec::new(),
    };
    LoadPlan {
        targets: (0..site.nodes.len()).map(target).collect(),
        schedule: ArrivalSchedule::poisson(rate, MEASUREMENT_TIME.into(), 1),
        teams: vec![TeamLoad {
            name: "suva-rowing".to_owned(),
            api_key: site.api_key().to_owned(),
            weight: ShareWeight(1),
        }],
        model: "oar-assist".to_owned(),
        tokens: TokenCount(16),
        timeout_ms: Millis(30_000),
        max_retries: 0,
        seed: 1,
    }
}

/// The cumulative resource usage of the processes of a site.
struct UsageTotals {
    usages: Vec<ProcessUsage>,
    platform: TrafficReport,
    probes: u64,
    probe_bytes: u64,
}

impl UsageTotals {
    async fn of(site: &Site) -> Result<Self, SiteError> {
        let processes = site.nodes.iter().filter_map(|node| node.process.id());
        let usages = processes.filter_map(ProcessUsage::of).collect();
        let (mut probes, mut probe_bytes) = (0, 0);
        for upstream in 0..site.upstreams.len() {
            let traffic = site.upstream_traffic(upstream).await?;
            probes += traffic
                .calls
                .get("/control/report")
                .copied()
                .unwrap_or_default();
            probe_bytes += traffic.in_bytes + traffic.out_bytes;
        }
        let platform = site.platform_traffic().await?;
        Ok(Self {
            usages,
            platform,
            probes,
            probe_bytes,
        })
    }

    fn cost_since(&self, before: &Self, nodes: f64) -> NodeCost {
        let seconds = MEASUREMENT_TIME.as_secs_f64();
        let per_node_per_s = |total: u64, earlier: u64| (total - earlier) as f64 / seconds / nodes;
        let calls = |totals: &Self, path: &str| totals.platform.calls.get(path).copied();
        let table = |path| {
            per_node_per_s(
                calls(self, path).unwrap_or_default(),
                calls(before, path).unwrap_or_default(),
            )
        };
        let pairs = self.usages.iter().zip(&before.usages);
        let percents: Vec<f64> = pairs
            .map(|(now, earlier)| (now.cpu_time - earlier.cpu_time).as_secs_f64() / seconds * 100.0)
            .collect();
        let resident = self
            .usages
            .iter()
            .map(|usage| usage.resident_bytes.get())
            .sum::<u64>();
        let bytes = |totals: &Self| totals.platform.in_bytes + totals.platform.out_bytes;
        NodeCost {
            cpu_percent: percents.iter().sum::<f64>() / nodes,
            cpu_percent_max: percents.iter().copied().fold(0.0, f64::max),
            resident_mb: resident as f64 / nodes / 1_048_576.0,
            table_reads_per_s: table("/table/read"),
            table_writes_per_s: table("/table/commit"),
            platform_bytes_per_s: per_node_per_s(bytes(self), bytes(before)),
            probe_calls_per_s: per_node_per_s(self.probes, before.probes),
            probe_bytes_per_s: per_node_per_s(self.probe_bytes, before.probe_bytes),
        }
    }
}

fn print_cost(size: SiteSize, cost: &NodeCost) {
    println!(
        "{:5} {:6} {:7} {:6.0} | {:6.2} {:6.2} | {:5.1} | {:8.2} {:8.2} | {:8.0} | {:6.1} {:8.0}",
        size.nodes,
        size.groups,
        size.members,
        size.rate.get(),
        cost.cpu_percent,
        cost.cpu_percent_max,
        cost.resident_mb,
        cost.table_reads_per_s,
        cost.table_writes_per_s,
        cost.platform_bytes_per_s,
        cost.probe_calls_per_s,
        cost.probe_bytes_per_s,
    );
}

fn print_fits(unit: &str, sizes: &[f64], costs: &[NodeCost]) {
    let fit = |name: &str, value: fn(&NodeCost) -> f64| {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .zip(costs)
            .map(|(size, cost)| (*size, value(cost)))
            .collect();
        if let Some(fit) = LinearFit::least_squares(&points) {
            println!("  {name:<22} = {fit}   (x = {unit})");
        }
    };
    fit("cpu %", |cost| cost.cpu_percent);
    fit("resident MB", |cost| cost.resident_mb);
    fit("table reads/s", |cost| cost.table_reads_per_s);
    fit("table writes/s", |cost| cost.table_writes_per_s);
    fit("platform B/s", |cost| cost.platform_bytes_per_s);
    fit("probes/s", |cost| cost.probe_calls_per_s);
    fit("probe B/s", |cost| cost.probe_bytes_per_s);
}
