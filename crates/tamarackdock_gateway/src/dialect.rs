//! What the gateway needs of a platform's wire format. An adapter implements
//! it, so that the decisions know none of the platform's names.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

use crate::{
    batch::{Page, Submission},
    deployment::{Deployment, Name, Published},
    http::Headers,
    target::Registration,
};

/// Names of the header fields with a meaning for the gateway.
#[derive(Debug, Clone, Copy)]
pub struct Fields {
    /// Id of a call, echoed by targets.
    pub request_id: &'static str,
    /// Milliseconds that the caller waits.
    pub deadline: &'static str,
    /// Key of a client account.
    pub key: &'static str,
    /// Client account, told to targets.
    pub account: &'static str,
    /// Id of the target that may run a request.
    pub expected_target: &'static str,
    /// Signature of a target under its response.
    pub signature: &'static str,
    /// Present if a target did not run a request.
    pub not_run: &'static str,
    /// Last event that the sender has.
    pub last_event: &'static str,
    /// Version of the weights of a response.
    pub weight_version: &'static str,
    /// Estimated output tokens of an item.
    pub length_hint: &'static str,
    /// Longest time that a read is kept waiting.
    pub wait: &'static str,
}

/// A call about a batch job that exists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchCall {
    /// Read results from a position on.
    Read {
        /// Id of the job.
        job: String,
        /// First position.
        after: usize,
    },
    /// Read the body of an item.
    Item {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// End the job.
    End {
        /// Id of the job.
        job: String,
    },
}

/// A request with a body.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Header fields without framing.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

/// A message is not as the wire format says.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{what} can't be read: {reason}")]
pub struct DecodeError {
    /// Kind of message.
    pub what: &'static str,
    /// First fault.
    pub reason: String,
}

/// An order of an operator or trainer, by the key of its row.
#[derive(Debug, Clone)]
pub enum Order {
    /// A configuration.
    Deployment(Box<Deployment>),
    /// A data centre is out while the row exists.
    Evacuate(Name),
    /// A trainer has published weights.
    Published(Published),
    /// A row without meaning for the gateway.
    Other,
}

/// An order to a target to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Target.
    pub target: Name,
    /// Model.
    pub model: Name,
    /// Version.
    pub version: u64,
    /// Orders that the target must have accepted before this one.
    pub after_orders: u64,
}

/// Who sends an order or report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sender {
    /// Host of the holder.
    pub holder: Name,
    /// Epoch of the lease.
    pub epoch: u64,
}

/// What a target tells of itself when asked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Version by model.
    pub versions: BTreeMap<Name, u64>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that the target has accepted in this run.
    pub orders: u64,
}

/// A platform's wire format.
pub trait Dialect {
    /// Returns the names of header fields.
    fn fields(&self) -> Fields;
    /// Recognizes calls about batch jobs by method and request target.
    fn batch_call(&self, method: &str, target: &str) -> Option<BatchCall>;
    /// Decodes a submitted batch job.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the body is no batch job.
    fn submission(&self, body: &[u8]) -> Result<Submission, DecodeError>;
    /// Encodes a page of results.
    fn page(&self, page: &Page) -> Vec<u8>;
    /// Decodes a row of the operators' table.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value does not fit the key.
    fn order(&self, key: &str, value: &str) -> Result<Order, DecodeError>;
    /// Returns the data centre or model that a removed row named.
    fn removed(&self, key: &str) -> Option<Name>;
    /// Decodes a row of the targets' table.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value registers no target.
    fn registration(&self, key: &str, value: &str) -> Result<Registration, DecodeError>;
    /// Encodes a question for a target's report.
    fn report_request(&self) -> Outgoing;
    /// Decodes a target's report.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the body is no report.
    fn report(&self, body: &[u8]) -> Result<TargetReport, DecodeError>;
    /// Encodes an order to load weights.
    fn load(&self, load: &Load, sender: &Sender) -> Outgoing;
    /// Encodes a usage report with the calls of each client account.
    fn usage(&self, window: u64, calls: &[(Name, u64)], sender: &Sender) -> Outgoing;
    /// Encodes an order for a number of targets.
    fn scale(
        &self,
        service: &str,
        data_centre: &str,
        targets: u32,
        reclaimable: bool,
        sender: &Sender,
    ) -> Outgoing;
    /// Name of the operators' table.
    fn orders_table(&self) -> &'static str;
    /// Name of the targets' table.
    fn targets_table(&self) -> &'static str;
}
