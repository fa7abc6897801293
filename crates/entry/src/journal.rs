//! What was already sent of each streamed answer, so that a caller can resume by request id.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use contract::RequestId;
use parking_lot::Mutex;
use policy::route::Choice;

/// Ended requests that are kept.
const KEPT: usize = 4_096;

/// The journals of an entry host.
#[derive(Debug, Default)]
pub struct Journals {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    open: HashMap<RequestId, Arc<Journal>>,
    ended: VecDeque<RequestId>,
}

/// The answer to one request as far as it was made.
#[derive(Debug)]
pub struct Journal {
    /// Customer and account that asked.
    pub owner: String,
    part: Mutex<Part>,
    choices: Mutex<Vec<Choice>>,
}

/// A part of an answer.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Tokens in order.
    pub tokens: Vec<String>,
    /// Whether the answer is whole.
    pub whole: bool,
    /// Whether it ended without being whole.
    pub failed: bool,
}

impl Journals {
    /// Opens the journal of a request.
    pub fn open(&self, request: &RequestId, owner: String) -> Arc<Journal> {
        let journal = Arc::new(Journal {
            owner,
            part: Mutex::default(),
            choices: Mutex::default(),
        });
        self.inner.lock().open.insert(request.clone(), Arc::clone(&journal));
        journal
    }

    /// Notes that a request ended; the oldest ended ones are forgotten.
    pub fn end(&self, request: &RequestId) {
        let mut inner = self.inner.lock();
        inner.ended.push_back(request.clone());
        if inner.ended.len() > KEPT
            && let Some(oldest) = inner.ended.pop_front()
        {
            inner.open.remove(&oldest);
        }
    }

    /// Finds the journal of a request.
    #[must_use]
    pub fn find(&self, request: &RequestId) -> Option<Arc<Journal>> {
        self.inner.lock().open.get(request).cloned()
    }
}

impl Journal {
    /// Appends a token.
    pub fn push(&self, token: &str) {
        self.part.lock().tokens.push(token.to_owned());
    }

    /// Notes why an upstream was chosen for an attempt.
    pub fn chose(&self, choice: Choice) {
        self.choices.lock().push(choice);
    }

    /// Gives the record of each attempt's choice.
    #[must_use]
    pub fn choices(&self) -> Vec<Choice> {
        self.choices.lock().clone()
    }

    /// Notes how the answer ended.
    pub fn end(&self, whole: bool) {
        let mut part = self.part.lock();
        part.whole = whole;
        part.failed = !whole;
    }

    /// Gives the answer from a position on.
    #[must_use]
    pub fn from(&self, position: usize) -> Part {
        let part = self.part.lock();
        let tokens = part.tokens.get(position..).unwrap_or_default().to_vec();
        Part {
            tokens,
            whole: part.whole,
            failed: part.failed,
        }
    }

    /// Gives the answer so far as one text.
    #[must_use]
    pub fn text(&self) -> String {
        self.part.lock().tokens.concat()
    }

    /// Gives the number of tokens so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.part.lock().tokens.len()
    }

    /// Tells whether no token was made yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
