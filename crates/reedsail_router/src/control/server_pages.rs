//! Renders the list of backend servers as JSON pages for peers.
//!
//! Caches the page of the whole list, because each of many instances that start together fetches it.

use bytes::Bytes;
use reedsail_core::TimeMs;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerListing;

/// How long a page of the whole list is served from the cache, in milliseconds.
const WHOLE_PAGE_VALID_MS: u64 = 250;

/// A cached page of the whole list.
#[derive(Debug)]
struct WholePage {
    digest: u64,
    valid_until: TimeMs,
    json: Bytes,
}

/// Renders pages, and caches the page of the whole list.
#[derive(Debug, Default)]
pub(crate) struct ServerPages {
    whole: Option<WholePage>,
}

impl ServerPages {
    /// Returns the page with the difference to the list that has the digest `differs_from`, or the page of the whole
    /// list if there is no digest. Returns `None` if the difference is no longer known.
    pub(crate) fn page(
        &mut self,
        list: &ServerList,
        differs_from: Option<u64>,
        now: TimeMs,
    ) -> Option<Bytes> {
        let Some(digest) = differs_from else {
            return Some(self.whole_page(list, now));
        };
        let difference = list.difference(digest, now)?;
        Some(to_json(&difference))
    }

    fn whole_page(&mut self, list: &ServerList, now: TimeMs) -> Bytes {
        let is_valid = |page: &&WholePage| page.digest == list.digest() && now < page.valid_until;
        if let Some(page) = self.whole.as_ref().filter(is_valid) {
            return page.json.clone();
        }
        let mut listing = list.listing(now);
        // A peer that gets the cached page later must not assume a fresher list than it receives.
        listing.age_ms += WHOLE_PAGE_VALID_MS;
        let json = to_json(&listing);
        self.whole = Some(WholePage {
            digest: list.digest(),
            valid_until: now.plus_ms(WHOLE_PAGE_VALID_MS),
            json: json.clone(),
        });
        json
    }

    /// Drops the cached page when it expires, because it is as large as the list.
    pub(crate) fn tick(&mut self, now: TimeMs) {
        self.whole.take_if(|page| page.valid_until <= now);
    }
}

fn to_json(listing: &ServerListing) -> Bytes {
    match serde_json::to_vec(listing) {
        Ok(json) => Bytes::from(json),
        Err(error) => {
            // Not expected: every field of the page can be serialised. A peer cannot parse an empty page; it retries.
            log::error!("cannot serialise the list of backend servers; peers get an empty page: {error}");
            Bytes::new()
        }
    }
}
