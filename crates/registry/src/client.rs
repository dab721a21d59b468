//! An HTTP client, with or without TLS, that calls one registry server at a time and keeps one connection open between
//! calls. Each call has a timeout, and response bodies are streamed: only the latest frame is held in memory.

use async_io::{Async, Timer};
use base64::Engine;
use flate2::write::GzDecoder;
use futures_lite::future::{or, poll_once};
use futures_rustls::TlsConnector;
use futures_rustls::rustls::{ClientConfig, RootCertStore};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Uri};
use linnetdeal_core::Span;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use smol_hyper::rt::FuturesIo;
use std::future::Future;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be established.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection broke, or the response is not valid HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// There was no complete response within the timeout.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The response had a status other than success.
    #[error("status {status}")]
    Status {
        /// The status code.
        status: u16,
        /// The value of `Retry-After`, if present in seconds.
        retry_after: Option<Span>,
    },
    /// The content type of the body is not supported.
    #[error("unsupported content type '{0}'")]
    ContentType(String),
    /// The body is invalid.
    #[error("the body: {0}")]
    Body(String),
}

/// Why a server or the client can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The URL is invalid or not supported.
    #[error("url '{url}': {what}")]
    Url {
        /// The URL without user and password.
        url: String,
        /// What is wrong.
        what: &'static str,
    },
    /// A file can't be used.
    #[error("{path}: {what}")]
    File {
        /// Its path.
        path: String,
        /// What is wrong.
        what: String,
    },
    /// TLS can't be set up.
    #[error("tls: {0}")]
    Tls(#[from] futures_rustls::rustls::Error),
}

/// A registry server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    tls: bool,
    host: String,
    address: SocketAddr,
    authority: String,
    path: String,
}

impl Server {
    /// Parses a URL such as `http://127.0.0.1:8761/eureka`. Host names are not looked up: for a host name, `resolved`
    /// must give the address to connect to, and the name is used for TLS and the `Host` header.
    ///
    /// # Errors
    ///
    /// When the URL is invalid or not supported.
    pub fn new(url: &str, resolved: Option<SocketAddr>) -> Result<Self, SetupError> {
        let redacted = url.rsplit_once('@').map_or(url, |(_, rest)| rest).to_owned();
        let invalid = |what| SetupError::Url { url: redacted.clone(), what };
        let uri: Uri = url.parse().map_err(|_| invalid("not a URL"))?;
        let tls = match uri.scheme_str() {
            Some("http") => false,
            Some("https") => true,
            _ => return Err(invalid("neither http nor https")),
        };
        let authority = uri.authority().ok_or_else(|| invalid("no host"))?;
        if authority.as_str().contains('@') {
            return Err(invalid("it contains a user; set a user and a password file instead"));
        }
        let host = authority.host().trim_start_matches('[').trim_end_matches(']').to_owned();
        let port = authority.port_u16().unwrap_or(if tls { 443 } else { 80 });
        let address = resolved.or_else(|| host.parse().ok().map(|ip| SocketAddr::new(ip, port)));
        let address =
            address.ok_or_else(|| invalid("the host is a name, and names are not looked up: set 'at'"))?;
        if uri.query().is_some() {
            return Err(invalid("it contains a query"));
        }
        let path = uri.path().trim_end_matches('/').to_owned();
        Ok(Self { tls, host, address, authority: authority.to_string(), path })
    }

    /// Whether it is called over TLS.
    #[must_use]
    pub fn is_tls(&self) -> bool {
        self.tls
    }

    /// The host, with the port if the URL has one; used in log lines.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.authority
    }
}

/// The credentials and certificates for calling servers.
#[derive(Clone, Debug, Default)]
pub struct Access {
    /// A user and the path of its password file, for basic authentication.
    pub user: Option<(String, PathBuf)>,
    /// The certificate authorities that are trusted for servers, as a PEM file.
    pub ca: Option<PathBuf>,
    /// The client certificate and its key, as PEM files.
    pub identity: Option<(PathBuf, PathBuf)>,
}

/// Calls servers, one at a time.
pub struct Client {
    tls: Option<TlsConnector>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
    idle: Option<(Server, Connection)>,
    connections_opened: u64,
}

struct Connection {
    send: SendRequest<Full<Bytes>>,
    driver: Pin<Box<dyn Future<Output = ()>>>,
}

/// A request to a server.
#[derive(Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// The path with a leading slash; it is appended to the path of the server's URL.
    pub path: &'a str,
    /// The JSON body, if any.
    pub body: Option<Vec<u8>>,
}

impl Call<'_> {
    /// A `GET` request.
    #[must_use]
    pub fn get(path: &str) -> Call<'_> {
        Call { method: Method::GET, path, body: None }
    }
}

impl Client {
    /// Creates a client; all files named by `access` are read here. TLS is set up only if `tls` is set.
    ///
    /// # Errors
    ///
    /// When a file can't be used, a secret file is accessible to others than its owner, or TLS can't be set up.
    pub fn new(access: &Access, tls: bool, timeout: Duration) -> Result<Self, SetupError> {
        let authorization = match &access.user {
            None => None,
            Some((user, file)) => Some(basic_authorization(user, file)?),
        };
        let tls = if tls { Some(tls_connector(access)?) } else { None };
        Ok(Self { tls, authorization, timeout, idle: None, connections_opened: 0 })
    }

    /// The number of connections opened so far.
    #[must_use]
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened
    }

    /// Makes a call. The content type and then the decompressed body are passed to `on_chunk`, whose errors end the
    /// call. The connection is kept for the next call only after a complete response.
    ///
    /// # Errors
    ///
    /// When there is no complete response in time, its status is an error, or its body is invalid.
    pub async fn call(
        &mut self,
        server: &Server,
        call: Call<'_>,
        on_chunk: &mut dyn FnMut(Chunk<'_>) -> Result<(), String>,
    ) -> Result<(), CallError> {
        let timeout = self.timeout;
        let timed_out = async {
            Timer::after(timeout).await;
            Err(CallError::Timeout(timeout))
        };
        let idle = self
            .idle
            .take()
            .filter(|(idle_server, connection)| idle_server == server && !connection.send.is_closed());
        let attempt = async {
            if let Some((_, mut connection)) = idle {
                // A connection that the server closed while it was idle is detected by polling its driver or in the
                // exchange. Unless a part of the response was received, the call is repeated on a new connection.
                if poll_once(connection.driver.as_mut()).await.is_none() {
                    let mut received_any = false;
                    let mut tracked = |chunk: Chunk<'_>| {
                        received_any = true;
                        on_chunk(chunk)
                    };
                    let request = request(server, &call, self.authorization.as_ref());
                    match connection.exchange(request, &mut tracked).await {
                        Ok(()) => return Ok(connection),
                        Err(CallError::Http(_)) if !received_any => {}
                        Err(error) => return Err(error),
                    }
                }
            }
            self.connections_opened += 1;
            let mut connection = connect(self.tls.as_ref(), server).await?;
            let request = request(server, &call, self.authorization.as_ref());
            connection.exchange(request, on_chunk).await?;
            Ok(connection)
        };
        let connection = or(attempt, timed_out).await?;
        self.idle = Some((server.clone(), connection));
        Ok(())
    }
}

/// A part of a response.
#[derive(Clone, Copy, Debug)]
pub enum Chunk<'a> {
    /// The content type, passed once before any data.
    ContentType(&'a str),
    /// Bytes of the body, decompressed.
    Data(&'a [u8]),
}

impl Connection {
    /// Sends a request and passes the response to `on_chunk`.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        on_chunk: &mut dyn FnMut(Chunk<'_>) -> Result<(), String>,
    ) -> Result<(), CallError> {
        let Self { send, driver } = self;
        // The driver performs the connection's I/O. If it ends first, the exchange returns the error.
        let driver_ended = async {
            driver.as_mut().await;
            std::future::pending().await
        };
        or(exchange(send, request, on_chunk), driver_ended).await
    }
}

fn request(server: &Server, call: &Call<'_>, authorization: Option<&HeaderValue>) -> Request<Full<Bytes>> {
    let json = call.body.is_some();
    let mut request = Request::new(Full::new(Bytes::from(call.body.clone().unwrap_or_default())));
    *request.method_mut() = call.method.clone();
    // This can't fail: the server's path was checked with its URL, and the rest is generated by this program.
    *request.uri_mut() = format!("{}{}", server.path, call.path).parse().unwrap_or_default();
    let headers = request.headers_mut();
    let host = HeaderValue::from_str(&server.authority).unwrap_or(HeaderValue::from_static("registry"));
    headers.insert(header::HOST, host);
    headers.insert(header::ACCEPT, HeaderValue::from_static("application/json, application/xml;q=0.5"));
    headers.insert(header::ACCEPT_ENCODING, HeaderValue::from_static("gzip"));
    if json {
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(value) = authorization {
        headers.insert(header::AUTHORIZATION, value.clone());
    }
    request
}

async fn connect(tls: Option<&TlsConnector>, server: &Server) -> Result<Connection, CallError> {
    let stream = Async::<TcpStream>::connect(server.address).await.map_err(CallError::Connect)?;
    stream.get_ref().set_nodelay(true).map_err(CallError::Connect)?;
    match tls.filter(|_| server.tls) {
        None => handshake(stream).await,
        Some(tls) => {
            let name = ServerName::try_from(server.host.clone())
                .map_err(|error| CallError::Connect(io::Error::new(io::ErrorKind::InvalidInput, error)))?;
            handshake(tls.connect(name, stream).await.map_err(CallError::Connect)?).await
        }
    }
}

async fn handshake<S>(stream: S) -> Result<Connection, CallError>
where
    S: futures_lite::AsyncRead + futures_lite::AsyncWrite + Unpin + 'static,
{
    let (send, driver) =
        http1::Builder::new().max_buf_size(64 * 1024).handshake(FuturesIo::new(stream)).await?;
    let driver = Box::pin(async move {
        let _ = driver.await;
    });
    Ok(Connection { send, driver })
}

async fn exchange(
    send: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    on_chunk: &mut dyn FnMut(Chunk<'_>) -> Result<(), String>,
) -> Result<(), CallError> {
    let mut response = send.send_request(request).await?;
    let status = response.status();
    if !status.is_success() {
        let seconds = response.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
        let retry_after = seconds.and_then(|text| text.trim().parse::<i64>().ok()).filter(|s| *s >= 0);
        let retry_after = retry_after.map(|seconds| Span::millis(seconds.saturating_mul(1_000)));
        return Err(CallError::Status { status: status.as_u16(), retry_after });
    }
    let header_text = |name| response.headers().get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let content_type = header_text(header::CONTENT_TYPE).unwrap_or("").to_owned();
    let is_gzip =
        header_text(header::CONTENT_ENCODING).is_some_and(|encoding| encoding.eq_ignore_ascii_case("gzip"));
    on_chunk(Chunk::ContentType(&content_type))
        .map_err(|_| CallError::ContentType(content_type.chars().take(80).collect()))?;
    let mut writer = BodyWriter { on_chunk, error: None };
    if is_gzip {
        let mut decoder = GzDecoder::new(&mut writer);
        let mut result = Ok(());
        while let Some(frame) = response.frame().await {
            if let Ok(data) = frame?.into_data() {
                result = decoder.write_all(&data);
                if result.is_err() {
                    break;
                }
            }
        }
        let result = result.and_then(|()| decoder.try_finish());
        drop(decoder);
        writer.finish(result)
    } else {
        while let Some(frame) = response.frame().await {
            if let Ok(data) = frame?.into_data() {
                let result = writer.write_all(&data);
                if result.is_err() {
                    return writer.finish(result);
                }
            }
        }
        writer.finish(Ok(()))
    }
}

/// Passes what is written to it to `on_chunk`, and keeps the error if that fails.
struct BodyWriter<'t> {
    on_chunk: &'t mut dyn FnMut(Chunk<'_>) -> Result<(), String>,
    error: Option<String>,
}

impl BodyWriter<'_> {
    fn finish(self, result: io::Result<()>) -> Result<(), CallError> {
        match (self.error, result) {
            (Some(error), _) => Err(CallError::Body(error)),
            (None, Err(error)) => Err(CallError::Body(error.to_string())),
            (None, Ok(())) => Ok(()),
        }
    }
}

impl Write for BodyWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match (self.on_chunk)(Chunk::Data(bytes)) {
            Ok(()) => Ok(bytes.len()),
            Err(error) => {
                self.error = Some(error);
                Err(io::ErrorKind::InvalidData.into())
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn file_error(path: &Path, what: impl ToString) -> SetupError {
    SetupError::File { path: path.display().to_string(), what: what.to_string() }
}

/// Checks that a secret file is accessible only to its owner.
fn check_private(path: &Path) -> Result<(), SetupError> {
    use std::os::unix::fs::PermissionsExt;
    let mode = std::fs::metadata(path).map_err(|error| file_error(path, error))?.permissions().mode();
    if mode & 0o077 != 0 {
        let what =
            format!("its mode is {:03o}: others than its owner may use it, so it is not used", mode & 0o777);
        return Err(file_error(path, what));
    }
    Ok(())
}

fn basic_authorization(user: &str, file: &Path) -> Result<HeaderValue, SetupError> {
    check_private(file)?;
    let password = std::fs::read_to_string(file).map_err(|error| file_error(file, error))?;
    let pair = format!("{user}:{}", password.trim_end_matches(['\r', '\n']));
    let credentials = format!("Basic {}", base64::engine::general_purpose::STANDARD.encode(pair));
    let mut value = HeaderValue::from_str(&credentials)
        .map_err(|_| file_error(file, "its content can't be sent in an HTTP header"))?;
    value.set_sensitive(true);
    Ok(value)
}

fn tls_connector(access: &Access) -> Result<TlsConnector, SetupError> {
    let mut roots = RootCertStore::empty();
    let certificates = |path: &Path| -> Result<Vec<CertificateDer<'static>>, SetupError> {
        let all = CertificateDer::pem_file_iter(path).and_then(|all| all.collect::<Result<Vec<_>, _>>());
        let all = all.map_err(|error| file_error(path, error))?;
        if all.is_empty() { Err(file_error(path, "no certificate stands in it")) } else { Ok(all) }
    };
    if let Some(path) = &access.ca {
        for certificate in certificates(path)? {
            roots.add(certificate).map_err(|error| file_error(path, error))?;
        }
    }
    let config = ClientConfig::builder().with_root_certificates(roots);
    let config = match &access.identity {
        None => config.with_no_client_auth(),
        Some((certificate, key)) => {
            check_private(key)?;
            let own_certificates = certificates(certificate)?;
            let key = PrivateKeyDer::from_pem_file(key).map_err(|error| file_error(key, error))?;
            config.with_client_auth_cert(own_certificates, key)?
        }
    };
    Ok(TlsConnector::from(Arc::new(config)))
}
