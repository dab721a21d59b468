//! Many processes of the program, and what is broken between them: processes started as the platform does, a relay for each
//! pair that talks, and a history by one steady clock.

pub mod fleet;
pub mod history;
pub mod http_head;
pub mod process;
pub mod records;
pub mod relay;
pub mod tcp_links;
