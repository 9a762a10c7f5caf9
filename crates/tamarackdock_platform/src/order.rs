//! The interface that starts and stops targets in a data centre.

use serde::{Deserialize, Serialize};
use tamarackdock_types::{DataCentreName, TargetName, fence::Epoch};

use crate::Call;

/// Price class of a target, which decides whether it can be reclaimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Stays until it is stopped.
    Ordinary,
    /// Costs less and can be reclaimed at any time.
    Cheap,
}

/// What an order does with its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start the target.
    Start,
    /// Stop the target.
    Stop,
}

/// An order for one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique id of the order.
    pub operation: String,
    /// Fencing token of the lease `orders/{data centre}`.
    pub epoch: Epoch,
    /// Target to start or stop.
    pub target: TargetName,
    /// Whether to start or to stop it.
    pub action: Action,
    /// Class in which a started target runs.
    pub class: Class,
}

/// State of a target as the platform knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Ordered but not yet reachable.
    Starting,
    /// Reachable.
    Running,
    /// About to be stopped or reclaimed.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name, as in orders.
    pub name: TargetName,
    /// Class in which it runs.
    pub class: Class,
    /// State that the platform last knew.
    pub state: State,
}

/// The ordering interface.
pub trait Orders {
    /// Sends an order.
    fn send(&self, data_centre: DataCentreName, order: Order) -> Call<'_, ()>;
    /// Lists the targets of a data centre.
    fn list(&self, data_centre: DataCentreName) -> Call<'_, Vec<ListedTarget>>;
}
