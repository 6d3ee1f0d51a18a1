//! Single requests: to which server the router sends them, what it forwards, and what it returns to the caller.

mod common;

use std::collections::BTreeMap;

use hyper::StatusCode;
use reedsail_standin::RoutedAnswer;

use common::Caller;
use common::RouterFixture;
use common::ask;
use common::read;
use common::read_body;
use common::request;
use common::wait_for;

#[tokio::test]
async fn a_request_is_forwarded_unchanged_except_for_router_headers() {
    let fixture = RouterFixture::start().await;
    let headers = [
        ("x-own", "kept"),
        ("connection", "x-hop"),
        ("x-hop", "dropped"),
        ("reedsail-workspace", "forged"),
    ];
    let reply = ask(fixture.callers(), "/once/a%20b?c=d", &headers).await;
    assert_eq!((reply.status, reply.body.len()), (StatusCode::OK, 10));
    assert_eq!(reply.header("reedsail-request-id"), "id-1");
    let runs = fixture.app.runs();
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!(run.call, "POST /once/a%20b?c=d");
    assert_eq!(&run.body[..], b"question");
    assert_eq!(run.header("x-own"), "kept");
    assert_eq!(run.header("host"), "huts.example");
    assert_eq!(run.header("reedsail-request-id"), "id-1");
    assert_eq!(run.header("reedsail-server"), "app-1");
    assert_eq!(run.header("reedsail-workspace"), "labska");
    assert_eq!(run.header("authorization"), "");
    assert_eq!(run.header("x-hop"), "");
    let left_ms: u64 = run.header("reedsail-deadline-ms").parse().unwrap();
    assert!(left_ms <= 8_000, "{left_ms}");
}

#[tokio::test]
async fn refusals_name_their_kind_and_reach_no_server() {
    let fixture = RouterFixture::start().await;
    let long = "x".repeat(17_000);
    let cases = [
        ("/nowhere/", ("x-none", ""), 404, "unknown_route"),
        ("/once/", ("host", "other.example"), 404, "unknown_route"),
        ("/once/", ("authorization", "Bearer nobody"), 401, "unknown_key"),
        ("/once/", ("reedsail-deadline-ms", "soon"), 400, "bad_header"),
        ("/stream/", ("reedsail-prompt", "zz:1"), 400, "bad_header"),
        ("/once/", ("x-long", &long), 431, "header_too_large"),
    ];
    for (path, header, status, kind) in cases {
        let reply = ask(fixture.callers(), path, &[header]).await;
        assert_eq!(reply.status.as_u16(), status, "{path} {}", header.0);
        assert!(reply.text().starts_with(kind), "{}", reply.text());
        assert!(reply.is_whole);
    }
    assert!(fixture.app.runs().is_empty() && fixture.llm.runs().is_empty());
}

#[tokio::test]
async fn an_anonymous_route_accepts_any_request() {
    let fixture = RouterFixture::start().await;
    let reply = ask(
        fixture.callers(),
        "/open/x",
        &[("authorization", "Bearer nobody")],
    )
    .await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(fixture.app.runs()[0].header("reedsail-workspace"), "");
}

#[tokio::test]
async fn a_server_error_is_relayed_unchanged() {
    let fixture = RouterFixture::start().await;
    let failure = RoutedAnswer::Whole {
        status: 500,
        bytes: 7,
    };
    fixture.app.answer_with(&[failure]);
    let reply = ask(fixture.callers(), "/once/", &[]).await;
    assert_eq!((reply.status.as_u16(), reply.body.len()), (500, 7));
    assert_eq!(fixture.app.runs().len(), 1);
}

#[tokio::test]
async fn a_request_that_may_run_once_is_never_sent_twice() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    for fault in [RoutedAnswer::Broken, RoutedAnswer::WrongId, RoutedAnswer::Short] {
        fixture.app.answer_with(&[fault]);
        second.answer_with(&[fault]);
        let before = fixture.app.runs().len() + second.runs().len();
        let reply = ask(fixture.callers(), "/once/", &[]).await;
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{fault:?}");
        let after = fixture.app.runs().len() + second.runs().len();
        assert_eq!(after, before + 1, "{fault:?}");
    }
}

#[tokio::test]
async fn a_repeatable_request_is_retried_on_another_server() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    let whole = RoutedAnswer::Whole {
        status: 200,
        bytes: 10,
    };
    let failure = RoutedAnswer::Whole {
        status: 503,
        bytes: 3,
    };
    for fault in [
        RoutedAnswer::Broken,
        RoutedAnswer::WrongId,
        RoutedAnswer::Short,
        failure,
    ] {
        for (bad, good) in [(&fixture.app, &second), (&second, &fixture.app)] {
            bad.answer_with(&[fault]);
            good.answer_with(&[whole]);
            let reply = ask(fixture.callers(), "/again/", &[]).await;
            assert_eq!(
                (reply.status, reply.body.len()),
                (StatusCode::OK, 10),
                "{fault:?}"
            );
        }
    }
}

#[tokio::test]
async fn a_request_that_a_server_did_not_run_is_sent_to_another() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    fixture.app.answer_with(&[RoutedAnswer::NotRun]);
    for _ in 0..10 {
        assert_eq!(ask(fixture.callers(), "/once/", &[]).await.status, StatusCode::OK);
    }
    // If no server runs the request, the answer says so and names the time for a retry.
    second.answer_with(&[RoutedAnswer::NotRun]);
    let reply = ask(fixture.callers(), "/once/", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_ne!(reply.header("retry-after"), "");
}

#[tokio::test]
async fn an_unreachable_server_is_skipped() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    second.close();
    for _ in 0..10 {
        assert_eq!(ask(fixture.callers(), "/once/", &[]).await.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_route_timeout_is_answered_as_gateway_timeout() {
    let fixture = RouterFixture::start().await;
    fixture.store.configuration.send_modify(|published| {
        let published = published.as_mut().unwrap();
        published.version = 2;
        published.routes[0].timeout_ms = 200;
    });
    wait_for("version 2", async || fixture.router.configuration_version() == 2).await;
    fixture.app.answer_with(&[RoutedAnswer::Silent]);
    let reply = ask(fixture.callers(), "/once/", &[]).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    wait_for("cancel", async || fixture.app.runs()[0].is_cancelled).await;
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_run() {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[RoutedAnswer::Silent]);
    let endless_stream = RoutedAnswer::Stream {
        events: 9,
        pause_after: Some(2),
    };
    fixture.llm.answer_with(&[endless_stream]);
    for (path, server) in [
        ("/again/", &fixture.app),
        ("/stream/", &fixture.llm),
        ("/resume/", &fixture.llm),
    ] {
        let before = server.runs().len();
        let mut caller = Caller::connect(fixture.callers()).await;
        let request_task = tokio::spawn(async move {
            let response = caller.send(request(path, &[])).await;
            read(response).await
        });
        wait_for("run", async || server.runs().len() > before).await;
        request_task.abort();
        wait_for("cancel", async || server.runs()[before].is_cancelled).await;
    }
}

#[tokio::test]
async fn a_stream_is_relayed_and_a_broken_one_ends_incomplete() {
    let fixture = RouterFixture::start().await;
    let whole = RoutedAnswer::Stream {
        events: 4,
        pause_after: None,
    };
    let endless_stream = RoutedAnswer::Stream {
        events: 9,
        pause_after: Some(2),
    };
    fixture.llm.answer_with(&[whole, endless_stream]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let reply = caller.ask("/stream/", &[]).await;
    assert!(reply.is_whole);
    assert_eq!(reply.text().matches("data:").count(), 4);
    let response = caller.send(request("/stream/", &[])).await;
    wait_for("second run", async || fixture.llm.runs().len() == 2).await;
    fixture.llm.crash();
    let reply = read(response).await;
    assert!(!reply.is_whole);
}

#[tokio::test]
async fn a_resumable_stream_continues_within_one_answer() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("llm-2", "llm").await;
    let broken_stream = RoutedAnswer::Stream {
        events: 6,
        pause_after: Some(3),
    };
    let whole = RoutedAnswer::Stream {
        events: 6,
        pause_after: None,
    };
    fixture.llm.answer_with(&[broken_stream, whole]);
    second.answer_with(&[broken_stream, whole]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let mut body = caller.send(request("/resume/", &[])).await.into_body();
    let (before, _) = read_body(&mut body, Some("id: 3")).await;
    let (first, other) = if fixture.llm.runs().is_empty() {
        (&second, &fixture.llm)
    } else {
        (&fixture.llm, &second)
    };
    other.answer_with(&[whole]);
    first.crash();
    let (after, is_whole) = read_body(&mut body, None).await;
    assert!(is_whole);
    let text = String::from_utf8([before, after].concat()).unwrap();
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["1", "2", "3", "4", "5", "6"]);
    assert_eq!(other.runs()[0].header("last-event-id"), "3");
}

#[tokio::test]
async fn more_requests_than_memory_allows_are_refused_as_not_run() {
    let fixture = RouterFixture::start_with(|settings| settings.memory_mb = 1).await;
    fixture.app.answer_with(&[RoutedAnswer::Silent]);
    let callers = fixture.callers();
    let waiting: Vec<_> = (0..4)
        .map(|_| tokio::spawn(async move { ask(callers, "/once/", &[]).await }))
        .collect();
    wait_for("four runs", async || fixture.app.runs().len() == 4).await;
    let reply = ask(callers, "/once/", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.text().starts_with("daemon_overloaded"), "{}", reply.text());
    for request_task in waiting {
        request_task.abort();
    }
    fixture.app.answer_with(&[RoutedAnswer::Whole {
        status: 200,
        bytes: 10,
    }]);
    wait_for("room", async || {
        ask(callers, "/once/", &[]).await.status == StatusCode::OK
    })
    .await;
}

#[tokio::test]
async fn callers_that_keep_too_many_connections_are_asked_to_close_them() {
    let fixture = RouterFixture::start_with(|settings| settings.memory_mb = 1).await;
    let mut kept = Vec::new();
    for _ in 0..11 {
        let mut caller = Caller::connect(fixture.callers()).await;
        let reply = caller.ask("/once/", &[]).await;
        assert_eq!(reply.status, StatusCode::OK);
        kept.push((caller, reply.header("connection").to_owned()));
    }
    let options: Vec<&str> = kept.iter().map(|(_, options)| options.as_str()).collect();
    assert!(
        options[..10].iter().all(|options| options.is_empty()),
        "{options:?}"
    );
    assert_eq!(options[10], "close");
}

#[tokio::test]
async fn a_panic_ends_only_its_own_request_and_is_counted() {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[RoutedAnswer::Silent]);
    let callers = fixture.callers();
    let waiting = tokio::spawn(async move { ask(callers, "/once/", &[]).await });
    wait_for("run", async || fixture.app.runs().len() == 1).await;
    let mut caller = Caller::connect(callers).await;
    let panicking = tokio::spawn(async move { caller.ask("/open/", &[("x-panic", "")]).await });
    assert!(
        panicking.await.is_err(),
        "its connection closes without an answer"
    );
    let admin = fixture.router.addresses().admin;
    wait_for("the panic in the metrics", async || {
        let metrics = ask(admin, "/metrics", &[]).await;
        metrics
            .text()
            .contains("reedsail_router_answers_total{outcome=\"panicked\"} 1")
    })
    .await;
    assert!(!waiting.is_finished());
    waiting.abort();
    fixture.app.answer_with(&[RoutedAnswer::Whole {
        status: 200,
        bytes: 10,
    }]);
    assert_eq!(ask(callers, "/once/", &[]).await.status, StatusCode::OK);
}

#[tokio::test]
async fn a_request_restricted_to_regions_runs_only_there() {
    let fixture = RouterFixture::start_with(|settings| {
        settings.regions = BTreeMap::from([("hall-a".to_owned(), "west".to_owned())]);
    })
    .await;
    let bind = |version: u64, route: Option<&[&str]>, workspace: Option<&[&str]>| {
        let to_names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let mut bound = common::configuration(version);
        for entry in &mut bound.routes {
            entry.allowed_regions = route.map(to_names);
        }
        common::workspaces_mut(&mut bound)[0].allowed_regions = workspace.map(to_names);
        fixture.store.configuration.send_replace(Some(bound));
    };
    let cases: [(_, _, u16, &str); 4] = [
        (Some(&["west", "east"][..]), Some(&["west"][..]), 200, ""),
        (Some(&["east"][..]), None, 503, "no_backend"),
        (None, Some(&["east"][..]), 503, "no_backend"),
        (Some(&["west"][..]), Some(&["east"][..]), 403, "no_allowed_region"),
    ];
    for (index, (route, workspace, status, kind)) in cases.into_iter().enumerate() {
        let version = index as u64 + 2;
        bind(version, route, workspace);
        wait_for("the configuration", async || {
            fixture.router.configuration_version() == version
        })
        .await;
        let before = fixture.app.runs().len();
        let reply = ask(fixture.callers(), "/again/", &[]).await;
        assert_eq!(reply.status.as_u16(), status, "{kind}");
        assert!(reply.text().starts_with(kind), "{}", reply.text());
        let runs = fixture.app.runs().len() - before;
        assert_eq!(runs, usize::from(status == 200), "{kind}");
    }
}

#[tokio::test]
async fn a_stream_does_not_resume_in_a_region_that_is_no_longer_allowed() {
    let fixture = RouterFixture::start_with(|settings| {
        settings.regions = BTreeMap::from([("hall-a".to_owned(), "west".to_owned())]);
    })
    .await;
    let second = fixture.add_server("llm-2", "llm").await;
    let broken_stream = RoutedAnswer::Stream {
        events: 6,
        pause_after: Some(3),
    };
    fixture.llm.answer_with(&[broken_stream]);
    second.answer_with(&[broken_stream]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let mut body = caller.send(request("/resume/", &[])).await.into_body();
    read_body(&mut body, Some("id: 3")).await;
    let mut bound = common::configuration(2);
    for route in &mut bound.routes {
        route.allowed_regions = Some(vec!["east".to_owned()]);
    }
    fixture.store.configuration.send_replace(Some(bound));
    wait_for("the configuration", async || {
        fixture.router.configuration_version() == 2
    })
    .await;
    let (first, other) = if fixture.llm.runs().is_empty() {
        (&second, &fixture.llm)
    } else {
        (&fixture.llm, &second)
    };
    first.crash();
    let (_, is_whole) = read_body(&mut body, None).await;
    assert!(!is_whole);
    assert!(other.runs().is_empty());
}
