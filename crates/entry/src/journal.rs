//! The tokens generated so far for each request, so that a caller can resume by request id.

mod kept;

use contract::{AccountName, CustomerId};
use parking_lot::{Condvar, Mutex};
use policy::route::Choice;
use upstream::engine::ChatRequest;

pub use kept::Journals;

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
    part: Mutex<Made>,
    choices: Mutex<Vec<Choice>>,
    place: Mutex<Place>,
    moved: Condvar,
}

/// Where the answer is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In this process.
    Here,
    /// In transfer: a peer is being asked to continue it.
    Moving,
    /// In a peer.
    Elsewhere,
}

/// All tokens as one string with the end offset of each; a string for each token would take five times the memory.
#[derive(Debug, Default)]
struct Made {
    text: String,
    ends: Vec<u32>,
    ask: Option<ChatRequest>,
    whole: bool,
    failed: bool,
}

/// The part of an answer from some token on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// The tokens in order.
    pub tokens: Vec<String>,
    /// Whether the answer is complete.
    pub whole: bool,
    /// Whether the answer ended incomplete.
    pub failed: bool,
}

/// The error of an operation on an answer that a peer has taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moved;

impl Journal {
    fn new(owner: String, ask: &ChatRequest) -> Self {
        let made = Made {
            ask: Some(ask.clone()),
            ..Made::default()
        };
        Self {
            owner,
            part: Mutex::new(made),
            choices: Mutex::default(),
            place: Mutex::new(Place::Here),
            moved: Condvar::new(),
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
    pub fn push(&self, token: &str) -> Result<(), Moved> {
        let _place = self.settled()?;
        let mut made = self.part.lock();
        made.text.push_str(token);
        let end = made.text.len() as u32;
        made.ends.push(end);
        Ok(())
    }

    /// Records whether the answer ended complete.
    ///
    /// # Errors
    /// Fails if a peer has taken over the answer.
    pub fn end(&self, whole: bool) -> Result<(), Moved> {
        let _place = self.settled()?;
        let mut made = self.part.lock();
        made.whole = whole;
        made.failed = !whole;
        made.ask = None;
        Ok(())
    }

    /// Hands the answer over to a peer if it is still generated here.
    ///
    /// `to_peer` gets the request and the tokens so far, and returns whether a peer accepted them. Returns whether the
    /// answer is now generated elsewhere.
    pub fn hand_over(&self, to_peer: impl FnOnce(&ChatRequest, Vec<String>) -> bool) -> bool {
        {
            let mut place = self.place.lock();
            if *place != Place::Here {
                return *place == Place::Elsewhere;
            }
            *place = Place::Moving;
        }
        let ask = self.part.lock().ask.clone();
        let taken = ask.is_some_and(|ask| to_peer(&ask, self.from(0).tokens));
        *self.place.lock() = if taken { Place::Elsewhere } else { Place::Here };
        self.moved.notify_all();
        taken
    }

    /// Returns whether a peer has taken over the answer.
    #[must_use]
    pub fn is_moved(&self) -> bool {
        *self.place.lock() == Place::Elsewhere
    }

    /// Returns whether the answer has not ended yet.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.part.lock().ask.is_some()
    }

    /// Records the routing decision of an attempt.
    pub fn chose(&self, choice: Choice) {
        self.choices.lock().push(choice);
    }

    /// Returns the routing decision of each attempt, in order.
    #[must_use]
    pub fn choices(&self) -> Vec<Choice> {
        self.choices.lock().clone()
    }

    /// Returns the answer from a token position on.
    #[must_use]
    pub fn from(&self, position: usize) -> Part {
        let made = self.part.lock();
        let starts = std::iter::once(0).chain(made.ends.iter().copied());
        let spans = starts.zip(made.ends.iter().copied()).skip(position);
        let tokens = spans.map(|(start, end)| made.text[start as usize..end as usize].to_owned());
        Part {
            tokens: tokens.collect(),
            whole: made.whole,
            failed: made.failed,
        }
    }

    /// Returns the answer so far as one string.
    #[must_use]
    pub fn text(&self) -> String {
        self.part.lock().text.clone()
    }

    /// Returns the number of tokens so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.part.lock().ends.len()
    }

    /// Returns whether no token was generated yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the journal takes after the answer has ended, in bytes.
    fn size(&self) -> usize {
        let made = self.part.lock();
        let weighed: usize = self.choices.lock().iter().map(|choice| choice.weighed.len() + 1).sum();
        size_of::<Self>() + made.text.capacity() + made.ends.capacity() * 4 + weighed * 96
    }

    fn settled(&self) -> Result<parking_lot::MutexGuard<'_, Place>, Moved> {
        let mut place = self.place.lock();
        while *place == Place::Moving {
            self.moved.wait(&mut place);
        }
        if *place == Place::Elsewhere {
            Err(Moved)
        } else {
            Ok(place)
        }
    }
}
