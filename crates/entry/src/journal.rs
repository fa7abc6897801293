//! The tokens generated so far for each request, so that a caller can resume by request id.

mod table;

use contract::{AccountName, CustomerId};
use parking_lot::{Condvar, Mutex};
use policy::route::Choice;
use upstream::engine::ChatRequest;

pub use table::Journals;

/// Separates customer and account. Names can't contain it, so that two different accounts never give the same text.
const SEPARATOR: char = ' ';

/// Returns the owner of a request, customer and account, as one string.
#[must_use]
pub fn owner(customer: &CustomerId, account: &AccountName) -> String {
    format!("{customer}{SEPARATOR}{account}")
}

/// The answer to one request so far.
#[derive(Debug)]
pub struct Journal {
    /// The customer and account that made the request, joined by [`owner`].
    pub owner: String,
    answer: Mutex<AnswerText>,
    choices: Mutex<Vec<Choice>>,
    location: Mutex<Location>,
    handover_done: Condvar,
}

/// Where the answer is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Location {
    /// In this process.
    Here,
    /// In transfer: a peer is being asked to continue it.
    Moving,
    /// In a peer.
    Elsewhere,
}

/// All tokens as one string with the end offset of each; a string for each token would take five times the memory.
#[derive(Debug, Default)]
struct AnswerText {
    text: String,
    ends: Vec<u32>,
    request: Option<ChatRequest>,
    complete: bool,
    failed: bool,
}

/// The part of an answer from some token on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerPart {
    /// The tokens in order.
    pub tokens: Vec<String>,
    /// Whether the answer is complete.
    pub complete: bool,
    /// Whether the answer ended incomplete.
    pub failed: bool,
}

/// The error of an operation on an answer that a peer has taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenOver;

impl Journal {
    fn new(owner: String, request: &ChatRequest) -> Self {
        let answer = AnswerText {
            request: Some(request.clone()),
            ..AnswerText::default()
        };
        Self {
            owner,
            answer: Mutex::new(answer),
            choices: Mutex::default(),
            location: Mutex::new(Location::Here),
            handover_done: Condvar::new(),
        }
    }

    /// Returns the customer that made the request.
    #[must_use]
    pub fn customer(&self) -> CustomerId {
        self.owner.split(SEPARATOR).next().unwrap_or_default().into()
    }

    /// Appends a token.
    ///
    /// While a peer is being asked to continue the answer, this waits for the peer's reply. If a token went to the
    /// caller after the peer got its copy, the peer would generate that position again, and the caller would see two
    /// answers mixed.
    ///
    /// # Errors
    /// Fails if a peer has taken over the answer.
    pub fn push(&self, token: &str) -> Result<(), TakenOver> {
        let _location = self.lock_here()?;
        let mut answer = self.answer.lock();
        answer.text.push_str(token);
        let end = answer.text.len() as u32;
        answer.ends.push(end);
        Ok(())
    }

    /// Records whether the answer ended complete.
    ///
    /// # Errors
    /// Fails if a peer has taken over the answer.
    pub fn end(&self, complete: bool) -> Result<(), TakenOver> {
        let _location = self.lock_here()?;
        let mut answer = self.answer.lock();
        answer.complete = complete;
        answer.failed = !complete;
        answer.request = None;
        Ok(())
    }

    /// Hands the answer over to a peer if it is still generated here.
    ///
    /// `to_peer` gets the request and the tokens so far, and returns whether a peer accepted them. Returns whether the
    /// answer is now generated elsewhere.
    pub fn hand_over(&self, to_peer: impl FnOnce(&ChatRequest, Vec<String>) -> bool) -> bool {
        {
            let mut location = self.location.lock();
            if *location != Location::Here {
                return *location == Location::Elsewhere;
            }
            *location = Location::Moving;
        }
        let request = self.answer.lock().request.clone();
        let accepted = request.is_some_and(|request| to_peer(&request, self.part_from(0).tokens));
        *self.location.lock() = if accepted { Location::Elsewhere } else { Location::Here };
        self.handover_done.notify_all();
        accepted
    }

    /// Returns whether a peer has taken over the answer.
    #[must_use]
    pub fn is_elsewhere(&self) -> bool {
        *self.location.lock() == Location::Elsewhere
    }

    /// Returns whether the answer has not ended yet.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.answer.lock().request.is_some()
    }

    /// Records the routing decision of an attempt.
    pub fn record_choice(&self, choice: Choice) {
        self.choices.lock().push(choice);
    }

    /// Returns the routing decision of each attempt, in order.
    #[must_use]
    pub fn choices(&self) -> Vec<Choice> {
        self.choices.lock().clone()
    }

    /// Returns the answer from a token position on.
    #[must_use]
    pub fn part_from(&self, position: usize) -> AnswerPart {
        let answer = self.answer.lock();
        let starts = std::iter::once(0).chain(answer.ends.iter().copied());
        let spans = starts.zip(answer.ends.iter().copied()).skip(position);
        let tokens = spans.map(|(start, end)| answer.text[start as usize..end as usize].to_owned());
        AnswerPart {
            tokens: tokens.collect(),
            complete: answer.complete,
            failed: answer.failed,
        }
    }

    /// Returns the answer so far as one string.
    #[must_use]
    pub fn text(&self) -> String {
        self.answer.lock().text.clone()
    }

    /// Returns the number of tokens so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.answer.lock().ends.len()
    }

    /// Returns whether no token was generated yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the journal takes after the answer has ended, in bytes.
    fn memory_bytes(&self) -> usize {
        let answer = self.answer.lock();
        let candidates: usize = self.choices.lock().iter().map(|choice| choice.weighed.len() + 1).sum();
        size_of::<Self>() + answer.text.capacity() + answer.ends.capacity() * 4 + candidates * 96
    }

    fn lock_here(&self) -> Result<parking_lot::MutexGuard<'_, Location>, TakenOver> {
        let mut location = self.location.lock();
        while *location == Location::Moving {
            self.handover_done.wait(&mut location);
        }
        if *location == Location::Elsewhere {
            Err(TakenOver)
        } else {
            Ok(location)
        }
    }
}
