//! The retry loan message: the datagram by which instances ask each other for retries, and lend them.

use capnp::message::Builder;
use capnp::serialize_packed;
use reedsail_core::NameHash;
use reedsail_dispatch::LoanRequest;
use reedsail_dispatch::RetryLoan;

use crate::load_capnp::retry_loans;
use crate::load_message::check_rows;
use crate::load_message::read_datagram;

/// The first byte of a retry loan message. No other message begins with it, and releases that know only those ignore such
/// a datagram.
pub(crate) const RETRY_LOAN_MESSAGE_MARK: u8 = 0xfe;

/// A retry loan message. Lost ones are not retransmitted: a loan that does not arrive is not used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryLoanMessage {
    /// The sender.
    pub instance: NameHash,
    /// What the sender asks for.
    pub requests: Vec<LoanRequest>,
    /// What the sender lends to the receiver.
    pub loans: Vec<RetryLoan>,
}

impl RetryLoanMessage {
    /// Encodes the message.
    ///
    /// # Errors
    /// Returns an error if memory runs out.
    pub fn encode(&self) -> Result<Vec<u8>, capnp::Error> {
        let mut message = Builder::new_default();
        self.write(message.init_root::<retry_loans::Builder<'_>>());
        let mut bytes = vec![RETRY_LOAN_MESSAGE_MARK];
        serialize_packed::write_message(&mut bytes, &message)?;
        Ok(bytes)
    }

    /// Writes the lists that are not empty.
    fn write(&self, mut root: retry_loans::Builder<'_>) {
        root.set_instance(self.instance.0);
        if !self.requests.is_empty() {
            let mut rows = root.reborrow().init_requests(self.requests.len() as u32);
            for (index, request) in (0..).zip(&self.requests) {
                let mut row = rows.reborrow().get(index);
                row.set_number(request.number);
                row.set_service(request.service.0);
                row.set_retries(request.retries);
            }
        }
        if !self.loans.is_empty() {
            let mut rows = root.init_loans(self.loans.len() as u32);
            for (index, loan) in (0..).zip(&self.loans) {
                let mut row = rows.reborrow().get(index);
                row.set_number(loan.number);
                row.set_service(loan.service.0);
                row.set_retries(loan.retries);
            }
        }
    }

    /// Decodes the bytes after [`RETRY_LOAN_MESSAGE_MARK`]. The length of every list is limited.
    pub(crate) fn decode_content(bytes: &[u8]) -> Result<Self, capnp::Error> {
        let message = read_datagram(bytes)?;
        let root = message.get_root::<retry_loans::Reader<'_>>()?;
        let (requests, loans) = (root.get_requests()?, root.get_loans()?);
        for length in [requests.len(), loans.len()] {
            check_rows(length)?;
        }
        let requests = requests.iter().map(|row| LoanRequest {
            number: row.get_number(),
            service: NameHash(row.get_service()),
            retries: row.get_retries(),
        });
        let loans = loans.iter().map(|row| RetryLoan {
            number: row.get_number(),
            service: NameHash(row.get_service()),
            retries: row.get_retries(),
        });
        Ok(Self {
            instance: NameHash(root.get_instance()),
            requests: requests.collect(),
            loans: loans.collect(),
        })
    }
}
