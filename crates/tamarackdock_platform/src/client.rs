use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tamarackdock_types::{DataCentreName, ServiceName, call::Ran, fence::Epoch};
use tamarackdock_wire::client::{BufferedResponse, Pool, Timeouts};

use crate::{Call, Error, host, object, order, report, table, weight};

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    first_byte: Duration::from_secs(2),
    between_bytes: Duration::from_secs(2),
};

/// Client of the platform's HTTP interface.
pub struct Client {
    address: SocketAddr,
    pool: Rc<Pool>,
}

#[derive(Serialize)]
struct ReadRequest {
    keys: Vec<String>,
}

#[derive(Serialize)]
struct ScanRequest {
    prefix: String,
}

#[derive(Deserialize)]
struct RowsResponse {
    rows: Vec<table::Row>,
}

#[derive(Deserialize)]
struct CommitResponse {
    revision: u64,
}

#[derive(Deserialize)]
struct ConflictResponse {
    conflict: Option<table::Condition>,
    stale_epoch: Option<Epoch>,
}

#[derive(Deserialize)]
struct TargetsResponse {
    targets: Vec<order::ListedTarget>,
}

#[derive(Deserialize)]
struct HostsResponse {
    hosts: Vec<host::Host>,
}

impl Client {
    /// Makes a client of the platform at an address.
    #[must_use]
    pub fn new(address: SocketAddr, pool: Rc<Pool>) -> Self {
        Self { address, pool }
    }

    /// Sends a request and returns its response, whatever its status.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<BufferedResponse, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body)
            .map_err(|_| Error::Malformed)?;
        let response = self.pool.call(self.address, request, TIMEOUTS).await;
        response.map_err(|error| match error.ran() {
            Ran::No => Error::Unreachable,
            Ran::Unknown | Ran::Yes => Error::Unknown,
        })
    }

    /// Sends a request and returns its response if the platform has carried it out.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<BufferedResponse, Error> {
        check_status(path, self.send(method, path, body).await?)
    }

    async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        value: &T,
    ) -> Result<R, Error> {
        let body = serde_json::to_vec(value).map_err(|_| Error::Malformed)?;
        decode(&self.call(Method::POST, path, body.into()).await?)
    }

    async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, Error> {
        decode(&self.call(Method::GET, path, Bytes::new()).await?)
    }
}

/// Returns a response that reports success, or the error that its status stands for.
fn check_status(path: &str, response: BufferedResponse) -> Result<BufferedResponse, Error> {
    match response.status {
        status if status.is_success() => Ok(response),
        StatusCode::CONFLICT => Err(conflict_error(path, &response.body)),
        StatusCode::SERVICE_UNAVAILABLE if path.starts_with("/orders/") => Err(Error::Unavailable),
        status if status.is_server_error() => Err(Error::Unknown),
        _ => Err(Error::Malformed),
    }
}

fn decode<R: DeserializeOwned>(response: &BufferedResponse) -> Result<R, Error> {
    serde_json::from_slice(&response.body).map_err(|_| Error::Malformed)
}

fn conflict_error(path: &str, body: &[u8]) -> Error {
    match serde_json::from_slice(body) {
        Ok(ConflictResponse { stale_epoch: Some(epoch), .. }) => Error::StaleEpoch(epoch),
        Ok(ConflictResponse { conflict: Some(condition), .. }) => {
            Error::Conflict { key: condition.key }
        }
        Ok(_) | Err(_) => Error::Conflict { key: path.into() },
    }
}

impl table::Table for Client {
    fn read(&self, keys: Vec<String>) -> Call<'_, BTreeMap<String, table::Row>> {
        async move {
            let rows: RowsResponse = self.post("/table/read", &ReadRequest { keys }).await?;
            Ok(rows.rows.into_iter().map(|row| (row.key.clone(), row)).collect())
        }
        .boxed_local()
    }

    fn scan(&self, prefix: String) -> Call<'_, Vec<table::Row>> {
        async move {
            let rows: RowsResponse = self.post("/table/scan", &ScanRequest { prefix }).await?;
            Ok(rows.rows)
        }
        .boxed_local()
    }

    fn commit(&self, commit: table::Commit) -> Call<'_, u64> {
        async move {
            let committed: CommitResponse = self.post("/table/commit", &commit).await?;
            Ok(committed.revision)
        }
        .boxed_local()
    }
}

impl object::Store for Client {
    fn put(&self, name: String, bytes: Bytes) -> Call<'_, ()> {
        async move {
            self.call(Method::PUT, &format!("/objects/{name}"), bytes).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn get(&self, name: String) -> Call<'_, Option<Bytes>> {
        async move {
            let path = format!("/objects/{name}");
            let response = self.send(Method::GET, &path, Bytes::new()).await?;
            match response.status {
                StatusCode::NOT_FOUND => Ok(None),
                _ => check_status(&path, response).map(|response| Some(response.body)),
            }
        }
        .boxed_local()
    }
}

impl order::Orders for Client {
    fn send(&self, data_centre: DataCentreName, order: order::Order) -> Call<'_, ()> {
        async move {
            let path = format!("/orders/{data_centre}");
            self.post::<_, serde_json::Value>(&path, &order).await?;
            Ok(())
        }
        .boxed_local()
    }

    fn list(&self, data_centre: DataCentreName) -> Call<'_, Vec<order::ListedTarget>> {
        async move {
            let targets: TargetsResponse = self.get(&format!("/orders/{data_centre}")).await?;
            Ok(targets.targets)
        }
        .boxed_local()
    }
}

impl report::Reports for Client {
    fn send(&self, window: u64, bytes: Bytes) -> Call<'_, ()> {
        async move {
            self.call(Method::POST, &format!("/reports/{window}"), bytes).await?;
            Ok(())
        }
        .boxed_local()
    }
}

impl host::Hosts for Client {
    fn list(&self) -> Call<'_, Vec<host::Host>> {
        async move {
            let list: HostsResponse = self.get("/hosts").await?;
            Ok(list.hosts)
        }
        .boxed_local()
    }
}

impl weight::Store for Client {
    fn latest(&self, service: ServiceName) -> Call<'_, weight::LatestWeights> {
        async move { self.get(&format!("/weights/{service}")).await }.boxed_local()
    }
}
