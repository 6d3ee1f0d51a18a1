//! `reedsail bundle sign`, `approve` and `publish`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use reedsail_bundle::BundleRecord;
use reedsail_bundle::SignedHead;
use reedsail_bundle::digest_of;
use reedsail_bundle::read_bundle;
use reedsail_log_client::PlatformClient;
use reedsail_net::ByteCounter;
use reedsail_net::NetGate;
use tokio::time::Instant;
use tokio::time::sleep;
use uuid::Uuid;

use crate::admin_client;
use crate::bundle_command::read_checked;
use crate::failure::Failure;
use crate::key_file::KeyFile;
use crate::signed_file::read_signed;
use crate::signed_file::signed_path;
use crate::signed_file::write_signed;

/// The log stream that holds the bundle records.
const BUNDLE_STREAM: &str = "bundles";
/// Time limit for a call to the platform.
const CALL_TIMEOUT_MS: u64 = 5_000;
/// Time limit for a published bundle to come into force.
const IN_FORCE_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of attempts to append a record.
const ATTEMPTS_MAX: usize = 5;

/// Signs a bundle as its author.
pub(crate) async fn sign(
    file: &Path,
    key: &Path,
    admin_address: Option<SocketAddr>,
    is_first: bool,
) -> Result<(), Failure> {
    let (text, bundle) = read_checked(file)?;
    let author = KeyFile::read(key)?;
    let base = match (admin_address, is_first) {
        (Some(admin_address), false) => Some(fetch_base(admin_address).await?),
        (None, true) => None,
        _ => return Err(Failure::Usage("give either --daemon or --first".to_owned())),
    };
    let base_version = base.as_ref().map_or(0, |(version, _)| *version);
    if bundle.version != base_version + 1 {
        return Err(Failure::Stale(format!(
            "{} has version {}, but version {base_version} is in force; write `version: {}`",
            file.display(),
            bundle.version,
            base_version + 1
        )));
    }
    let base = base.as_ref().map(|(version, text)| (*version, text.as_str()));
    let head = SignedHead::sign(base, &text, &author.name, &author.key);
    write_signed(file, &head)?;
    println!(
        "signed by {}; another person now runs `reedsail bundle approve {}`",
        author.name,
        file.display()
    );
    Ok(())
}

async fn fetch_base(admin_address: SocketAddr) -> Result<(u32, String), Failure> {
    let Some(text) = admin_client::bundle(admin_address).await? else {
        return Err(Failure::Stale(format!(
            "the instance at {admin_address} has no bundle; sign the fleet's first bundle with --first"
        )));
    };
    let bundle = read_bundle(&text).map_err(|_| {
        Failure::Unreachable(format!(
            "this tool cannot read the bundle of the instance at {admin_address}"
        ))
    })?;
    Ok((bundle.version, text))
}

/// Approves and signs a bundle as its approver.
pub(crate) fn approve(file: &Path, key: &Path) -> Result<(), Failure> {
    let (text, _) = read_checked(file)?;
    let mut head = read_signed(file, &text)?;
    let approver = KeyFile::read(key)?;
    if approver.name == head.author.name {
        return Err(Failure::Refused(format!(
            "{} is the author; another person must approve",
            approver.name
        )));
    }
    head.approve(&approver.name, &approver.key);
    write_signed(file, &head)?;
    println!(
        "approved by {}; {} can be published",
        approver.name,
        signed_path(file).display()
    );
    Ok(())
}

/// Publishes a bundle and waits until it is in force.
pub(crate) async fn publish(
    file: &Path,
    platform: SocketAddr,
    admin_address: SocketAddr,
) -> Result<(), Failure> {
    let (text, bundle) = read_checked(file)?;
    let head = read_signed(file, &text)?;
    if head.approver.is_none() {
        return Err(Failure::Refused(format!(
            "{} is not approved; run `reedsail bundle approve` with an approver's key",
            file.display()
        )));
    }
    let base = admin_client::bundle(admin_address).await?;
    let base_digest = base.as_deref().map_or([0; 32], digest_of);
    if hex::encode(base_digest) != head.base_digest {
        return Err(Failure::Stale(
            "another version came into force since the bundle was signed; recreate the bundle on that version"
                .to_owned(),
        ));
    }
    let record = BundleRecord::propose(head, base.as_deref(), &text);
    let client = PlatformClient::new(
        platform,
        "operator",
        CALL_TIMEOUT_MS,
        ByteCounter::default(),
        NetGate::default(),
    );
    append_with_retries(&client, &record).await?;
    println!("version {} is in the log", bundle.version);
    wait_in_force(admin_address, bundle.version, &hex::encode(digest_of(&text))).await
}

/// Appends a record. After a lost answer it searches the log for the record before it retries. A second
/// copy would be harmless, but would cost an append.
async fn append_with_retries(client: &PlatformClient, record: &BundleRecord) -> Result<(), Failure> {
    let bytes = record.to_bytes();
    let mut last_error = String::new();
    for _ in 0..ATTEMPTS_MAX {
        match client.append(BUNDLE_STREAM, bytes.clone()).await {
            Ok(_) => return Ok(()),
            Err(error) => {
                last_error = error.to_string();
                if error.may_have_taken_effect() && is_in_log(client, record.id).await {
                    return Ok(());
                }
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
    Err(Failure::Unreachable(format!(
        "the bundle may not be in the log: {last_error}"
    )))
}

async fn is_in_log(client: &PlatformClient, id: Uuid) -> bool {
    let mut from = 0;
    while let Ok(page) = client.read(BUNDLE_STREAM, from, 0).await {
        let is_match = |data: &[u8]| BundleRecord::parse(data).is_ok_and(|record| record.id == id);
        if page.records.iter().any(|record| is_match(&record.data)) {
            return true;
        }
        from = match page.records.last() {
            Some(record) => record.offset + 1,
            None => return false,
        };
    }
    false
}

async fn wait_in_force(admin_address: SocketAddr, version: u32, digest: &str) -> Result<(), Failure> {
    let deadline = Instant::now() + Duration::from_millis(IN_FORCE_TIMEOUT_MS);
    while Instant::now() < deadline {
        let status = admin_client::status(admin_address).await?;
        if status.bundle_version >= version {
            if status.bundle_version == version && status.bundle_digest != digest {
                return Err(Failure::Stale(format!(
                    "another bundle was published first as version {version}; recreate this one on it"
                )));
            }
            println!("version {version} is in force on {}", status.instance);
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(Failure::Refused(format!(
        "version {version} is in the log but not in force on the instance at {admin_address}; \
         check the bundle events in `reedsail timeline --daemon {admin_address}`"
    )))
}
