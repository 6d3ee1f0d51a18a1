//! Engines crash one after the other while a small workspace has a request there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reedsail_platform_standin::StoreStandin;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Verdict;
use crate::fleet::Record;
use crate::fleet::Router;
use crate::fleet::addresses;
use crate::fleet::announce;
use crate::fleet::configure;
use crate::fleet::has_trouble;
use crate::http::Connection;

const HOST: &str = "huts.example";
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const ENGINES: usize = 9;
/// Crashes, one engine at a time.
const CRASHES: usize = 4;
/// How long an engine that crashed is down.
const DOWN_MS: u64 = 2_000;
/// How long the entry of an engine that crashed remains: three heartbeats.
const ENTRY_MS: u64 = 3_600;
/// When the crashes begin, and when the case ends.
const CRASHES_FROM_MS: u64 = 15_000;
const END_MS: u64 = 95_000;
/// The part that all requests of the small workspace share.
const SMALL_PART: &str = "5c1e07a2:800";
/// The part that those of the large one share.
const LARGE_PART: &str = "77aa07a2:800";

/// What runs where: the engine of each running request, by id, with the time since when.
type Running = Arc<Mutex<HashMap<String, (usize, u64)>>>;

/// An engine that can crash: its listener and its connections close at once.
struct Engine {
    id: String,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Engine {
    async fn start(
        number: usize,
        start: usize,
        store: &StoreStandin,
        running: &Running,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let tasks: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let (running, record, of_listener) = (Arc::clone(running), record.clone(), Arc::clone(&tasks));
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = tokio::spawn(serve(stream, number, Arc::clone(&running), record.clone()));
                of_listener.lock().unwrap().push(task);
            }
        });
        tasks.lock().unwrap().push(accepting);
        let id = format!("i-{number}-{start}");
        announce(store, &id, "llm", address, ZONES[number % 3], "ready", 64);
        Self { id, tasks }
    }

    fn crash(&self) {
        for task in self.tasks.lock().unwrap().iter() {
            task.abort();
        }
    }
}

async fn serve(stream: TcpStream, number: usize, running: Running, record: Record) {
    let _ = stream.set_nodelay(true);
    let mut connection = Connection::new(stream);
    while let Ok(Some(head)) = connection.read_head().await {
        if connection.read_body(&head).await.is_err() {
            return;
        }
        let id = head.header("x-request-id").to_owned();
        let is_small = head.start.contains("/chat/small");
        if is_small {
            record.line(&format!("engine {number}: {id} of the small workspace runs"));
        }
        running
            .lock()
            .unwrap()
            .insert(id.clone(), (number, record.now_ms()));
        let (events, event_ms) = if is_small { (40, 60) } else { (10, 40) };
        let mut bytes = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Reply-Stamp: stamp-{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for event in 1..=events {
            let text = format!("id: {event}\ndata: token\n\n");
            bytes += &format!("{:x}\r\n{text}\r\n", text.len());
            if connection.stream.write_all(bytes.as_bytes()).await.is_err() {
                return;
            }
            bytes.clear();
            sleep(Duration::from_millis(event_ms)).await;
        }
        running.lock().unwrap().remove(&id);
        if connection.stream.write_all(b"0\r\n\r\n").await.is_err() {
            return;
        }
    }
}

/// Sends one request. Returns its status, and whether the whole answer came.
async fn call(router: SocketAddr, path: &str, id: &str, key: &str, part: &str) -> (u16, bool) {
    let ask = async {
        let mut connection = Connection::new(TcpStream::connect(router).await.ok()?);
        let body = format!("letter {id}");
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 1000,120\r\n\
             X-Prompt-Prefix: {part},{id}:200\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.stream.write_all(request.as_bytes()).await.ok()?;
        let head = connection.read_head().await.ok()??;
        let is_whole = connection.read_body(&head).await.is_ok();
        Some((head.status(), is_whole))
    };
    timeout(Duration::from_secs(12), ask)
        .await
        .ok()
        .flatten()
        .unwrap_or((0, false))
}

/// Requests of a workspace: how many were sent, and how many of them were served.
#[derive(Default)]
struct Count {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Count {
    fn add(&self, is_served: bool) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.served.fetch_add(usize::from(is_served), Ordering::Relaxed);
    }

    fn share(&self) -> f64 {
        self.served.load(Ordering::Relaxed) as f64 / self.sent.load(Ordering::Relaxed).max(1) as f64
    }
}

/// One user of the small workspace: asks again a second after each answer.
async fn small_user(routers: Vec<SocketAddr>, count: Arc<Count>, record: Record) {
    for number in 0_u32.. {
        if record.now_ms() >= END_MS {
            return;
        }
        let id = format!("a{number:07x}");
        let path = format!("/chat/small/{number}");
        let router = routers[number as usize % routers.len()];
        let (status, is_whole) = call(router, &path, &id, "key-small", SMALL_PART).await;
        let is_served = status == 200 && is_whole;
        count.add(is_served);
        record.line(&format!(
            "small workspace {id}: {status}, {}",
            if is_whole { "whole" } else { "cut" }
        ));
        sleep(Duration::from_millis(if is_served { 1_000 } else { 500 })).await;
    }
}

async fn large_users(routers: Vec<SocketAddr>, count: Arc<Count>, record: Record) {
    for number in 0_u32.. {
        if record.now_ms() >= END_MS {
            return;
        }
        let (count, router) = (Arc::clone(&count), routers[number as usize % routers.len()]);
        tokio::spawn(async move {
            let id = format!("b{number:07x}");
            // Each fourth subject has a part of its own, so that the requests go to all engines.
            let part = format!("{LARGE_PART},{:x}:400", 0x1000 + number % 24);
            let (status, is_whole) =
                call(router, &format!("/chat/large/{number}"), &id, "key-large", &part).await;
            count.add(status == 200 && is_whole);
        });
        sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the engine that has run a request of the small workspace for 0.8 s or longer.
fn engine_of_small(running: &Running, now_ms: u64) -> Option<usize> {
    let running = running.lock().unwrap();
    let of_small = running.iter().filter(|(id, _)| id.starts_with('a'));
    let mut long = of_small.filter(|(_, (_, since_ms))| now_ms >= since_ms + 800);
    long.next().map(|(_, (engine, _))| *engine)
}

pub async fn run() -> Verdict {
    let record = Record::begin();
    let store = StoreStandin::start().await.unwrap();
    store.enable_long_polling();
    configure(
        &store,
        &json!({"version": 3, "services": [{"name": "llm", "maxConns": 370, "engine": {"slots": 64}}],
            "routes": [{"name": "chat", "host": HOST, "prefix": "/chat/", "kind": "stream", "timeoutMs": 12000.0,
                "goalMs": 800.0, "gapGoalMs": 400.0, "priority": 1, "attempts": 1, "service": "llm", "anonymous": false,
                "affinity": true, "resumable": false}],
            "limits": {"headerBytes": 16384, "bodyBytes": 4_194_304, "headerMs": 5000, "idleMs": 30000, "tokensPerS": 290_000},
            "tenants": [{"name": "large", "keys": ["key-large"]}, {"name": "small", "keys": ["key-small"]}]}),
    );
    let running = Running::default();
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(Engine::start(number, 0, &store, &running, &record).await);
    }
    let addresses = addresses(3);
    let mut routers: Vec<Router> = (0..3)
        .map(|number| Router::new(number, &addresses, &ZONES, store.address))
        .collect();
    for router in &mut routers {
        router.start();
    }
    for router in &routers {
        if !router.wait_ready().await {
            return Verdict::NotRun;
        }
    }
    sleep(Duration::from_secs(3)).await;
    let callers: Vec<SocketAddr> = routers.iter().map(Router::callers).collect();
    let (small, large) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let small_task = tokio::spawn(small_user(callers.clone(), Arc::clone(&small), record.clone()));
    let large_task = tokio::spawn(large_users(callers, Arc::clone(&large), record.clone()));
    let mut crashes = 0;
    while record.now_ms() < END_MS {
        sleep(Duration::from_millis(20)).await;
        if !has_trouble() || crashes == CRASHES || record.now_ms() < CRASHES_FROM_MS {
            continue;
        }
        let Some(number) = engine_of_small(&running, record.now_ms()) else {
            continue;
        };
        record.line(&format!("engine {number} crashes"));
        engines[number].crash();
        running.lock().unwrap().retain(|_, (engine, _)| *engine != number);
        crashes += 1;
        let (gone, store_of_gone) = (engines[number].id.clone(), store.clone());
        tokio::spawn(async move {
            sleep(Duration::from_millis(ENTRY_MS)).await;
            store_of_gone.put("keyed.servers", &gone, "");
        });
        sleep(Duration::from_millis(DOWN_MS)).await;
        engines[number] = Engine::start(number, crashes, &store, &running, &record).await;
        record.line(&format!("engine {number} is up again"));
    }
    let _ = (small_task.await, large_task.await);
    sleep(Duration::from_secs(2)).await;
    let sent = small.sent.load(Ordering::Relaxed) + large.sent.load(Ordering::Relaxed);
    let served = small.served.load(Ordering::Relaxed) + large.served.load(Ordering::Relaxed);
    let all = served as f64 / sent.max(1) as f64;
    record.line(&format!(
        "small workspace: {} of {} served; all: {served} of {sent}; a quarter as often as all is {:.3}, the small one has {:.3}",
        small.served.load(Ordering::Relaxed),
        small.sent.load(Ordering::Relaxed),
        all / 4.0,
        small.share()
    ));
    if sent == 0 {
        return Verdict::NotRun;
    }
    if small.share() < all / 4.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
