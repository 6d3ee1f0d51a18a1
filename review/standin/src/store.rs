//! The platform's store: the two keyed topics, `log-read` with a held call, and `log-newest`.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_head;

/// What an answer takes, as the pages say.
const ANSWER_MS: u64 = 4;

type Topics = HashMap<String, Vec<(String, String)>>;

/// A running store.
#[derive(Default)]
pub struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Store {
    /// Starts a store on a free loopback port.
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self::default());
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Appends a record. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_owned()));
        drop(topics);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        while let Some(head) = read_head(&mut reader).ok()? {
            let (path, query) = head.target().split_once('?')?;
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = (*query.get("topic")?).to_owned();
            std::thread::sleep(Duration::from_millis(ANSWER_MS));
            let body = match path {
                "/api/log-read" => {
                    let from = query.get("from")?.parse().ok()?;
                    let wait_ms = query.get("waitMs").and_then(|text| text.parse().ok());
                    self.read(&topic, from, wait_ms.unwrap_or(0))
                }
                "/api/log-newest" => self.newest(&topic),
                _ => return None,
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            writer.write_all(head.as_bytes()).ok()?;
            writer.write_all(&body).ok()?;
        }
        Some(())
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let known = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if known > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value.as_bytes());
        }
        bytes
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let none = Vec::new();
        let records = topics.get(topic).unwrap_or(&none);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<String> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                let value = base64(value.as_bytes());
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let end = records.len();
        format!(r#"{{"items":[{}],"more":false,"end":{end}}}"#, items.join(",")).into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk
            .iter()
            .fold(0_u32, |number, byte| (number << 8) | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for place in 0..4 {
            if place <= chunk.len() {
                let sign = (number >> (18 - 6 * place)) & 63;
                text.push(SIGNS[sign as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
