//! The HTTP server below every stand-in, with the faults of its connections.

mod body;
mod gate;
mod tasks;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::faults::{Faults, Switches};

pub(crate) use body::{Body, Query, json, read_limited, refuse, status, unquote};
pub(crate) use gate::{Gate, Link};
pub(crate) use tasks::Tasks;

/// The path of the fault switches.
const FAULTS_PATH: &str = "/_faults";

/// The largest set of fault switches, in bytes.
const FAULTS_LIMIT: usize = 64 * 1024;

/// How long to wait before another try to listen on the old address.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// What a stand-in does with a request.
pub(crate) enum Answer {
    /// It answers.
    Reply(Response<Body>),
    /// It closes the connection without an answer.
    HangUp,
}

/// A stand-in behind the server.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    /// Its switches.
    type Faults: Faults;

    fn switches(&self) -> &Switches<Self::Faults>;

    fn gate(&self) -> &Arc<Gate> {
        self.switches().gate()
    }

    fn call(&self, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// What is done with each accepted connection.
pub(crate) trait Connect: Clone + Send + Sync + 'static {
    fn gate(&self) -> &Arc<Gate>;

    fn serve(self, stream: TcpStream) -> impl Future<Output = ()> + Send;
}

/// Serves HTTP on each connection.
#[derive(Clone)]
struct Http<S>(S);

impl<S> Connect for Http<S>
where
    S: Service,
{
    fn gate(&self) -> &Arc<Gate> {
        self.0.gate()
    }

    async fn serve(self, stream: TcpStream) {
        serve(stream, self.0).await;
    }
}

/// Ends a connection without an answer.
#[derive(Debug, Error)]
#[error("hung up on purpose")]
struct HangUp;

/// A listening stand-in; its tasks end with it.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    tasks: Tasks,
}

impl Server {
    pub(crate) async fn start<S>(listen: SocketAddr, service: S, tasks: Tasks) -> io::Result<Self>
    where
        S: Service,
    {
        Self::listen(listen, Http(service), tasks).await
    }

    pub(crate) async fn listen<C>(listen: SocketAddr, connect: C, tasks: Tasks) -> io::Result<Self>
    where
        C: Connect,
    {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        tasks.spawn(accept(listener, addr, connect, tasks.clone()));
        Ok(Self { addr, tasks })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends all tasks and waits for them.
    pub(crate) async fn stop(&self) {
        self.tasks.stop().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.cancel();
    }
}

async fn accept<C>(listener: TcpListener, addr: SocketAddr, connect: C, tasks: Tasks)
where
    C: Connect,
{
    let mut watched = connect.gate().watch_life();
    let mut listener = Some(listener);
    let mut alive = CancellationToken::new();
    let mut deaths = 0;
    loop {
        let life = *watched.borrow_and_update();
        if life.deaths > deaths {
            deaths = life.deaths;
            listener = None;
            alive.cancel();
        }
        if listener.is_none() && !life.is_over() {
            listener = Some(rebind(addr).await);
            alive = CancellationToken::new();
        }
        tokio::select! {
            _ = watched.changed() => {}
            Ok(stream) = next(listener.as_ref()) => {
                let connection = connect.clone().serve(stream);
                tasks.spawn(alive.clone().run_until_cancelled_owned(connection));
            }
        }
    }
}

async fn next(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        }
        None => std::future::pending().await,
    }
}

/// Listens on the address of before, which an old connection may still hold for a moment.
async fn rebind(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => sleep(REBIND_PAUSE).await,
        }
    }
}

async fn serve<S>(stream: TcpStream, service: S)
where
    S: Service,
{
    let link = Link::new(stream, Arc::clone(service.gate()));
    let pass = link.pass();
    let answer = service_fn(move |request| {
        let service = service.clone();
        let pass = Arc::clone(&pass);
        async move {
            if request.uri().path() == FAULTS_PATH {
                pass.exempt();
                return Ok(switch(service.switches(), request).await);
            }
            respond(service, request).await
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(link), answer)
        .await;
    if let Err(error) = served {
        tracing::debug!("fakes: connection ended: {error}");
    }
}

async fn respond<S>(service: S, request: Request<Incoming>) -> Result<Response<Body>, HangUp>
where
    S: Service,
{
    // A connection may be accepted just before the listener closes.
    if service.gate().is_over() {
        return Err(HangUp);
    }
    let delay = service.switches().get().link().delay_ms;
    let answer = service.call(request).await;
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    match answer {
        Answer::Reply(response) => Ok(response),
        Answer::HangUp => Err(HangUp),
    }
}

async fn switch<F>(switches: &Switches<F>, request: Request<Incoming>) -> Response<Body>
where
    F: Faults,
{
    if request.method() == Method::GET {
        return json(StatusCode::OK, &switches.get());
    }
    if request.method() != Method::POST {
        return refuse(StatusCode::METHOD_NOT_ALLOWED, "GET or POST");
    }
    let Ok(body) = read_limited(request.into_body(), FAULTS_LIMIT).await else {
        return refuse(StatusCode::BAD_REQUEST, "unreadable body");
    };
    match switches.merge(&body) {
        Ok(()) => json(StatusCode::OK, &switches.get()),
        Err(error) => refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
