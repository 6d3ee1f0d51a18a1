//! The admin port: health, readiness, status, bundle, metrics and the event timeline.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use reedsail_net::serve_pages;
use reedsail_scheduling::SharePolicy;
use tokio::net::TcpListener;
use xtra::Address;

use crate::control::Control;
use crate::control::ReadContent;
use crate::control::ReadStatus;
use crate::metrics::WORKSPACES_SHOWN_MAX;
use crate::shared::Shared;
use crate::stage::Stage;

/// Serves the admin port until the task is dropped.
pub(crate) async fn serve_admin<P: SharePolicy>(
    listener: TcpListener,
    shared: Arc<Shared<P>>,
    control: Address<Control<P>>,
) {
    let answer = move |request| answer(Arc::clone(&shared), control.clone(), request);
    serve_pages(listener, http1::Builder::new(), answer).await;
}

async fn answer<P: SharePolicy>(
    shared: Arc<Shared<P>>,
    control: Address<Control<P>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(match request.uri().path() {
        "/health" => text(StatusCode::OK, "text/plain", "alive\n".to_owned()),
        "/ready" => ready(&shared),
        "/metrics" => text(
            StatusCode::OK,
            "text/plain; version=0.0.4",
            render_metrics(&shared),
        ),
        "/events" => text(StatusCode::OK, "application/x-ndjson", render_events(&shared)),
        "/bundle" => match control.send(ReadContent).await {
            Ok(Some(content)) => text(StatusCode::OK, "application/yaml", content),
            Ok(None) | Err(_) => text(StatusCode::NOT_FOUND, "text/plain", "no bundle yet\n".to_owned()),
        },
        "/status" => match control.send(ReadStatus).await {
            Ok(status) => {
                let body = serde_json::to_string(&status).unwrap_or_default();
                text(StatusCode::OK, "application/json", body)
            }
            Err(_) => text(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                "stopping\n".to_owned(),
            ),
        },
        _ => text(
            StatusCode::NOT_FOUND,
            "text/plain",
            "use /health, /ready, /status, /bundle, /metrics or /events\n".to_owned(),
        ),
    })
}

fn ready<P: SharePolicy>(shared: &Shared<P>) -> Response<Full<Bytes>> {
    let stage = shared.stage.get();
    let status = if stage == Stage::Ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text(status, "text/plain", format!("{}\n", stage.name()))
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn render_events<P: SharePolicy>(shared: &Shared<P>) -> String {
    let mut lines = String::new();
    for event in shared.events.kept() {
        lines.push_str(&event.to_line());
        lines.push('\n');
    }
    lines
}

/// Updates the gauges and returns all metrics in the text format.
fn render_metrics<P: SharePolicy>(shared: &Shared<P>) -> String {
    let metrics = &shared.metrics;
    let view = shared.view.load();
    let open = shared.open_requests.load(Ordering::Acquire);
    metrics.open_requests.set(open as i64);
    for (kind, counter) in shared.bytes.kinds() {
        let sent = metrics.control_bytes.with_label_values(&[kind, "sent"]);
        sent.set(counter.sent_bytes() as i64);
        let received = metrics.control_bytes.with_label_values(&[kind, "received"]);
        received.set(counter.received_bytes() as i64);
    }
    let mut costs: Vec<(f64, &str)> = Vec::new();
    for (_, service) in view.services() {
        let scheduler = service.cell.lock();
        let (leased, in_use) = scheduler.slot_counts();
        let name = service.name.as_str();
        let queued = i64::from(scheduler.queue().queued());
        metrics.queued.with_label_values(&[name]).set(queued);
        metrics
            .slots
            .with_label_values(&[name, "leased"])
            .set(i64::from(leased));
        metrics
            .slots
            .with_label_values(&[name, "in_use"])
            .set(i64::from(in_use));
        for (workspace, settings) in view.workspaces() {
            let cost = scheduler.queue().lifetime_cost(workspace);
            if cost > 0.0 {
                costs.push((cost, settings.name.as_str()));
            }
        }
    }
    costs.sort_by(|a, b| b.0.total_cmp(&a.0));
    metrics.workspace_cost.reset();
    for (cost, name) in costs.into_iter().take(WORKSPACES_SHOWN_MAX) {
        metrics.workspace_cost.with_label_values(&[name]).add(cost);
    }
    metrics.resident_bytes.set(resident_bytes().unwrap_or(0));
    metrics.render()
}

/// Returns the resident memory of the process from the second field of `/proc/self/statm`.
fn resident_bytes() -> Option<i64> {
    const PAGE_BYTES: i64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: i64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
