//! Starts a complete small site and keeps it running for manual experiments.
//!
//! Starts the stand-ins and three nodes, applies a fleet file, prints one streamed response and
//! then waits for Ctrl-C, which stops every process.

use std::process::ExitCode;

use cuminlb_test_support::{ModelPlan, PlainPlan, Site, SiteBuilder, SiteError};

#[tokio::main]
async fn main() -> ExitCode {
    let interrupt = tokio::signal::ctrl_c();
    match run(interrupt).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(interrupt: impl Future<Output = std::io::Result<()>>) -> Result<(), SiteError> {
    let builder = SiteBuilder::default()
        .model(ModelPlan::new("oar-assist", 3, 2).spares(3))
        .plain(PlainPlan::new("boat-desk", 3));
    eprintln!("starting the stand-ins and three nodes ...");
    let site = tokio::select! {
        site = builder.start_serving() => site?,
        _ = tokio::signal::ctrl_c() => return Ok(()),
    };
    let response = site.chat(0, "oar-assist", true, 8).await?;
    eprintln!(
        "one streamed answer through {}:\n\n{}",
        site.nodes[0].id,
        response.text()
    );
    print_hints(&site);
    let _ = interrupt.await;
    site.shut_down().await;
    eprintln!("every process has ended");
    Ok(())
}

fn print_hints(site: &Site) {
    let key = site.api_key();
    eprintln!(
        "The site stays up; Ctrl-C ends it. Try:\n\n\
         curl -N {chat} -H 'authorization: Bearer {key}' \\\n  \
         -d '{{\"model\":\"oar-assist\",\"stream\":true,\"messages\":[]}}'\n\n\
         curl {reserve} -H 'authorization: Bearer {key}' -H 'idempotency-key: hull-7' \\\n  \
         -d '{{\"hull\":7}}'\n\n\
         export CUMINCTL_NODES={nodes} CUMINCTL_TOKEN={token}\n\
         {cuminctl} status\n\
         {cuminctl} timeline\n",
        chat = site.caller_url(0, "/v1/chat/completions"),
        reserve = site.caller_url(1, "/boat-desk/reservations"),
        nodes = site.operator_addresses(),
        token = site.operator_token(),
        cuminctl = site.programs().binary("cuminctl").display(),
    );
}
