//! A caller: sends one request to one instance and checks the answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_net::ReceivedBody;
use reedsail_standin::token_text;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

use crate::setup::WorkspacePlan;

/// The timeout of a caller's connection attempt.
const CONNECT_TIMEOUT_MS: u64 = 5_000;
/// The timeout of a complete answer.
const ANSWER_TIMEOUT_S: u64 = 300;

/// The request that a caller sends.
#[derive(Clone, Debug)]
pub enum RequestPlan {
    /// A chat request.
    Chat {
        /// The model.
        model: String,
        /// The prompt; unique to the request.
        prompt: String,
        /// Tokens to generate.
        tokens: u64,
        /// Whether it requests a streamed answer.
        stream: bool,
        /// `interactive` or `batch`.
        class: String,
    },
    /// A call to a plain service.
    Plain {
        /// The method.
        method: String,
        /// The path.
        path: String,
        /// The idempotency key.
        key: Option<String>,
    },
}

/// The outcome of a request at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer to this request.
    Answered,
    /// An error answer of the router.
    Failed {
        /// The error kind.
        kind: String,
        /// `not_run`, `unknown` or `ran`.
        ran: String,
    },
    /// An answer to another request.
    Crossed,
    /// No complete answer; holds the cause.
    Lost(String),
}

/// The outcome and the times of one request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The outcome.
    pub outcome: Outcome,
    /// The id that the instance assigned to the request; empty without an answer.
    pub request_id: String,
    /// Time to the first token of a stream, or to the headers of another answer.
    pub first_ms: f64,
    /// Time to the end of the request.
    pub total_ms: f64,
}

impl Caller {
    /// Sends a request and reads its answer.
    pub async fn run(address: SocketAddr, workspace: &str, plan: &RequestPlan) -> Self {
        let started = Instant::now();
        let mut caller = Self {
            outcome: Outcome::Lost("no answer".to_owned()),
            request_id: String::new(),
            first_ms: 0.0,
            total_ms: 0.0,
        };
        let answer_timeout = Duration::from_secs(ANSWER_TIMEOUT_S);
        match timeout(answer_timeout, caller.exchange(address, workspace, plan, started)).await {
            Ok(Ok(outcome)) => caller.outcome = outcome,
            Ok(Err(error)) => caller.outcome = Outcome::Lost(error),
            Err(_) => caller.outcome = Outcome::Lost("the answer timed out".to_owned()),
        }
        caller.total_ms = started.elapsed().as_secs_f64() * 1_000.0;
        caller
    }

    async fn exchange(
        &mut self,
        address: SocketAddr,
        workspace: &str,
        plan: &RequestPlan,
        started: Instant,
    ) -> Result<Outcome, String> {
        let mut connection = HttpConnection::open(address, CONNECT_TIMEOUT_MS, ByteCounter::default())
            .await
            .map_err(|error| error.to_string())?;
        connection.ready().await;
        let request = build_request(address, workspace, plan);
        let response = connection
            .send(request)
            .await
            .map_err(|error| error.to_string())?;
        self.first_ms = started.elapsed().as_secs_f64() * 1_000.0;
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        self.request_id = header("x-request-id");
        let ran = header("reedsail-ran");
        if !response.status().is_success() {
            return read_failure(response, ran).await;
        }
        match plan {
            RequestPlan::Chat {
                prompt,
                tokens,
                stream: true,
                ..
            } => self.read_stream(response, prompt, *tokens, started).await,
            RequestPlan::Chat { prompt, tokens, .. } => read_chat(response, prompt, *tokens).await,
            RequestPlan::Plain { method, path, .. } => {
                let call = format!("{method} {path}");
                read_plain(response, &call, &self.request_id).await
            }
        }
    }

    async fn read_stream(
        &mut self,
        response: Response<ReceivedBody>,
        prompt: &str,
        tokens: u64,
        started: Instant,
    ) -> Result<Outcome, String> {
        let mut body = response.into_body();
        let mut text = String::new();
        let mut is_first = true;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| error.to_string())?;
            if is_first {
                self.first_ms = started.elapsed().as_secs_f64() * 1_000.0;
                is_first = false;
            }
            if let Some(data) = frame.data_ref() {
                text.push_str(&String::from_utf8_lossy(data));
            }
        }
        let mut content = String::new();
        let mut is_done = false;
        for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if line == "[DONE]" {
                is_done = true;
                continue;
            }
            let event: Value = serde_json::from_str(line).map_err(|error| error.to_string())?;
            content.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
        }
        if !is_done {
            return Err("the stream ended without `[DONE]`".to_owned());
        }
        Ok(check_content(&content, prompt, tokens))
    }
}

async fn read_failure(response: Response<ReceivedBody>, ran: String) -> Result<Outcome, String> {
    let body = read_body(response).await?;
    let answer: Value = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let kind = answer["error"]["kind"].as_str().unwrap_or("unknown").to_owned();
    Ok(Outcome::Failed { kind, ran })
}

async fn read_chat(response: Response<ReceivedBody>, prompt: &str, tokens: u64) -> Result<Outcome, String> {
    let body = read_body(response).await?;
    let answer: Value = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let content = answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    Ok(check_content(content, prompt, tokens))
}

async fn read_plain(
    response: Response<ReceivedBody>,
    call: &str,
    request_id: &str,
) -> Result<Outcome, String> {
    let body = read_body(response).await?;
    let answer: Value = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let is_own = answer["call"] == call && answer["request_id"] == request_id;
    Ok(if is_own {
        Outcome::Answered
    } else {
        Outcome::Crossed
    })
}

async fn read_body(response: Response<ReceivedBody>) -> Result<Bytes, String> {
    let collected = response.into_body().collect().await;
    Ok(collected.map_err(|error| error.to_string())?.to_bytes())
}

/// Compares the content of an answer with the expected content for this prompt.
fn check_content(content: &str, prompt: &str, tokens: u64) -> Outcome {
    let expected: String = (0..tokens).map(|index| token_text(prompt, index)).collect();
    if content == expected {
        return Outcome::Answered;
    }
    if expected.starts_with(content) {
        return Outcome::Lost(format!("received {} of {} bytes", content.len(), expected.len()));
    }
    Outcome::Crossed
}

fn build_request(address: SocketAddr, workspace: &str, plan: &RequestPlan) -> Request<Full<Bytes>> {
    let key = WorkspacePlan::caller_key(workspace);
    let builder = Request::builder()
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {key}"));
    let built = match plan {
        RequestPlan::Chat {
            model,
            prompt,
            tokens,
            stream,
            class,
        } => {
            let body = json!({
                "model": model,
                "stream": stream,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}],
            });
            builder
                .method("POST")
                .uri("/v1/chat/completions")
                .header("content-type", "application/json")
                .header("reedsail-class", class)
                .body(Full::new(Bytes::from(body.to_string())))
        }
        RequestPlan::Plain { method, path, key } => {
            let mut builder = builder.method(method.as_str()).uri(path.as_str());
            if let Some(key) = key {
                builder = builder.header("idempotency-key", key);
            }
            builder.body(Full::default())
        }
    };
    built.expect("the plan's method, path and headers are valid")
}
