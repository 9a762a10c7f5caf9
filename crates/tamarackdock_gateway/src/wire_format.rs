//! Interface to a platform's wire format. An adapter implements it, so that the
//! gateway's own code contains none of the platform's names.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

use crate::{
    batch::{Page, Submission, SubmissionReader},
    deployment::{Deployment, Name, PublishedWeights},
    http::Headers,
    target::Registration,
};

/// Names of the header fields that the gateway reads or writes.
#[derive(Debug, Clone, Copy)]
pub struct HeaderFields {
    /// Id of a call, which targets echo.
    pub request_id: &'static str,
    /// Time in milliseconds that the caller waits for the response.
    pub deadline: &'static str,
    /// API key of a client account.
    pub key: &'static str,
    /// Name of the client account, sent to targets.
    pub account: &'static str,
    /// Id of the only target that may run the request.
    pub expected_target: &'static str,
    /// Signature of a response by its target.
    pub signature: &'static str,
    /// Present in a response if the target did not run the request.
    pub not_run: &'static str,
    /// Present in a response if the target is about to leave.
    pub leaving: &'static str,
    /// Requests a second that the target accepts from all nodes together. Present in a response
    /// while the target limits them.
    pub limit: &'static str,
    /// Id of the last event of a stream that the sender of the request has received.
    pub last_event: &'static str,
    /// Id of the attempt that brought the first event of the stream that a caller takes up.
    pub taken_up: &'static str,
    /// Weight version of a response, or of the following events of a stream.
    pub weight_version: &'static str,
    /// Estimated output tokens of an item.
    pub length_hint: &'static str,
    /// Longest time that a read of results waits for new ones.
    pub wait: &'static str,
}

/// A call about an existing batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchCall {
    /// Reads results from a position on.
    Read {
        /// Id of the job.
        job: String,
        /// Position of the first result to return.
        after: usize,
    },
    /// Reads the body of an item.
    Item {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Ends the job.
    End {
        /// Id of the job.
        job: String,
    },
}

/// A request that the gateway itself sends.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingRequest {
    /// Request method.
    pub method: &'static str,
    /// Path of the request target.
    pub path: String,
    /// Header fields without framing.
    pub headers: Headers,
    /// Body, without framing.
    pub body: Vec<u8>,
}

/// A message does not follow the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what} can't be read: {reason}")]
pub struct DecodeError {
    /// Kind of message that was expected.
    pub what: &'static str,
    /// First error found.
    pub reason: String,
}

/// An order of an operator or trainer, by the key of its row.
#[derive(Debug, Clone)]
pub enum Order {
    /// A configuration.
    Deployment(Box<Deployment>),
    /// A data centre is evacuated while the row exists.
    Evacuate(Name),
    /// A trainer has published weights.
    Published(PublishedWeights),
    /// A row that the gateway does not use.
    Other,
}

/// An order to a target to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Id of the target.
    pub target: Name,
    /// Model whose weights are loaded.
    pub model: Name,
    /// Weight version to load.
    pub version: u64,
    /// Number of orders that the target must have accepted before this one.
    pub after_orders: u64,
}

/// The lease holder that sends an order or report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Host of the holder.
    pub holder: Name,
    /// Epoch of its lease, which fences off former holders.
    pub epoch: u64,
}

/// The response of a target to [`WireFormat::report_request`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Loaded weight version by model.
    pub versions: BTreeMap<Name, u64>,
    /// Whether a load is in progress.
    pub busy: bool,
    /// Number of orders that the target has accepted in this run.
    pub orders: u64,
}

/// Encoder and decoder of a platform's wire format.
pub trait WireFormat {
    /// Returns the names of header fields.
    fn fields(&self) -> HeaderFields;
    /// Recognizes a call about an existing batch job by method and request target.
    fn batch_call(&self, method: &str, target: &str) -> Option<BatchCall>;
    /// Creates a reader of a submitted batch job.
    fn submission_reader(&self) -> Box<dyn SubmissionReader>;
    /// Decodes a submitted batch job with all its items.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the body is not a batch job.
    fn submission(&self, body: &[u8]) -> Result<Submission, DecodeError> {
        let mut reader = self.submission_reader();
        let mut items = Vec::new();
        reader.read(body, &mut |item| items.push(item))?;
        Ok(Submission { items, ..reader.finish()? })
    }
    /// Encodes a page of results.
    fn page(&self, page: &Page) -> Vec<u8>;
    /// Decodes a row of the operators' table.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value does not fit the key.
    fn order(&self, key: &str, value: &str) -> Result<Order, DecodeError>;
    /// Returns the data centre whose evacuation ends when the row with this key is
    /// removed, or `None` for any other row.
    fn ended_evacuation(&self, key: &str) -> Option<Name>;
    /// Decodes a row of the targets' table.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value is not a registration.
    fn registration(&self, key: &str, value: &str) -> Result<Registration, DecodeError>;
    /// Encodes a request for a target's report.
    fn report_request(&self) -> OutgoingRequest;
    /// Decodes a target's report.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the body is not a report.
    fn report(&self, body: &[u8]) -> Result<TargetReport, DecodeError>;
    /// Encodes an order to load weights.
    fn load(&self, load: &Load, sender: &Sender) -> OutgoingRequest;
    /// Encodes a usage report with the number of calls of each client account in a
    /// window.
    fn usage(&self, window: u64, calls: &[(Name, u64)], sender: &Sender) -> OutgoingRequest;
    /// Encodes an order that sets the number of targets of a service in a data centre.
    fn scale(
        &self,
        service: &str,
        data_centre: &str,
        targets: u32,
        reclaimable: bool,
        sender: &Sender,
    ) -> OutgoingRequest;
    /// Returns the name of the operators' table.
    fn orders_table(&self) -> &'static str;
    /// Returns the name of the targets' table.
    fn targets_table(&self) -> &'static str;
}
