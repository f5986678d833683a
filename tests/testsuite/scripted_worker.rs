//! [`ScriptedWorker`]: a worker that follows the steps of a script for each request, and is silent
//! in between.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_native_standins::Fleet;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// One step of a script. The connection is closed after the last step.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends a text. `{id}` stands for the id of the request.
    Send(&'static str),
    /// Sends nothing for a time.
    Wait(Duration),
}

/// A request that a worker has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Its `Last-Event-Id`.
    pub last_event: Option<u64>,
    /// Whether the script is over or the other end has closed the connection.
    pub has_ended: bool,
    /// Whether the other end has closed the connection before the script was over.
    pub was_cancelled: bool,
}

/// A worker whose responses follow a script.
#[derive(Debug)]
pub struct ScriptedWorker {
    requests: Arc<watch::Sender<Vec<ReceivedRequest>>>,
    task: JoinHandle<()>,
}

impl ScriptedWorker {
    /// Starts a worker and registers it in the store with an `entry` to which its address is added.
    /// It follows the script for each request for a path below `prefix`, and closes the connection
    /// after any other request. Without a script it refuses connections.
    pub async fn start(
        fleet: &Fleet,
        id: &str,
        mut entry: Value,
        prefix: &'static str,
        script: Option<&'static [Step]>,
    ) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any_port).await.unwrap();
        entry["address"] = listener.local_addr().unwrap().to_string().into();
        fleet.rows.put("servers", id, &entry);
        let requests = Arc::new(watch::Sender::new(Vec::new()));
        let received = Arc::clone(&requests);
        let task = tokio::spawn(async move {
            if let Some(script) = script {
                accept_requests(listener, &received, prefix, script).await;
            }
        });
        Self { requests, task }
    }

    /// Returns the requests that the worker has received.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.borrow().clone()
    }

    /// Waits until the worker has received a request and all its responses have ended.
    pub async fn wait_left_alone(&self) {
        let mut requests = self.requests.subscribe();
        let is_left_alone = |it: &Vec<ReceivedRequest>| {
            !it.is_empty() && it.iter().all(|request| request.has_ended)
        };
        requests.wait_for(is_left_alone).await.unwrap();
    }
}

impl Drop for ScriptedWorker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_requests(
    listener: TcpListener,
    requests: &Arc<watch::Sender<Vec<ReceivedRequest>>>,
    prefix: &'static str,
    script: &'static [Step],
) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let requests = Arc::clone(requests);
        tokio::spawn(async move {
            let Ok(head) = read_head(&mut stream).await else {
                return;
            };
            let path = head.split(' ').nth(1).unwrap_or_default();
            if !path.starts_with(prefix) {
                return;
            }
            let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let request = ReceivedRequest {
                last_event: header("last-event-id: ").and_then(|id| id.parse().ok()),
                has_ended: false,
                was_cancelled: false,
            };
            let mut index = 0;
            requests.send_modify(|requests| {
                index = requests.len();
                requests.push(request);
            });
            let id = header("x-attempt-id: ").unwrap_or_default();
            let was_cancelled = follow(&mut stream, id, script).await.is_err();
            requests.send_modify(|requests| {
                requests[index].has_ended = true;
                requests[index].was_cancelled = was_cancelled;
            });
        });
    }
}

/// Reads the head of a request without a body, in lower case.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).to_lowercase())
}

/// Follows a script. Returns an error if the other end closes the connection before its end.
async fn follow(stream: &mut TcpStream, id: &str, script: &[Step]) -> std::io::Result<()> {
    for step in script {
        match step {
            Step::Send(text) => {
                let text = text.replace("{id}", id);
                stream.write_all(text.as_bytes()).await?;
                stream.flush().await?;
            }
            Step::Wait(time) => {
                if let Ok(end) = timeout(*time, stream.read_u8()).await {
                    end?;
                }
            }
        }
    }
    stream.shutdown().await
}
