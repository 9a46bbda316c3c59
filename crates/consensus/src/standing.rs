//! How it stands with the common document, told to the maker of each part.

use crate::common::{Behind, Standing};
use crate::run::{Part, Runner};
use crate::shelf::{Shelf, Topic};
use maplehook_cluster::Name;

impl Runner {
    /// Says how it stands, where that has changed.
    pub(crate) fn stand(&mut self) {
        if !std::mem::take(&mut self.share.news) {
            return;
        }
        let (number, body) = self.share.holding.newest();
        let held = read(number, body);
        let agreed = match &self.part {
            Part::Voting { voter, .. } => {
                let document = &voter.steps().common;
                Some(if (document.number, &document.body) == (number, body) {
                    held.clone()
                } else {
                    read(document.number, &document.body)
                })
            }
            _ => None,
        };
        for topic in Topic::ALL {
            let standing = self.standing(topic, &held, agreed.as_ref());
            self.share.told(topic).send_if_modified(|before| {
                let news = *before != standing;
                *before = standing;
                news
            });
        }
    }

    fn standing(&self, topic: Topic, held: &Shelf, agreed: Option<&Shelf>) -> Standing {
        let now = self.now();
        let until = self.share.holding.until();
        let mut standing = Standing {
            common: held.part(topic),
            until: until.map(|until| self.epoch + until),
            leader: self.known_leader(),
            longest_lease: self.setup.times.longest_lease(),
            ..Standing::default()
        };
        let (Part::Voting { voter, grants, .. }, Some(agreed)) = (&self.part, agreed) else {
            return standing;
        };
        standing.agreed = agreed.part(topic);
        let lately = until.is_some_and(|until| now < until);
        if let (true, Some(given)) = (voter.knows(), &self.share.given) {
            standing.leads = lately && self.share.granted_by.as_ref() == Some(&self.setup.own);
            // Members say by which number of places they act; makers of other parts have words of their own.
            if topic == Topic::Places {
                standing.behind = given
                    .behind(now, agreed.number(topic))
                    .into_iter()
                    .map(|(name, left)| Behind { name, left })
                    .collect();
            }
            let acts = |name: &Name| (name.clone(), given.of(name).map(|(acts, _)| acts));
            let ends = |name: &Name| {
                (*grants).as_ref().is_some_and(|g| g.until(name).is_some_and(|u| u > now))
                    || given.until(name).is_some_and(|u| u > now)
            };
            standing.members = self.setup.members.iter().filter(|name| ends(name)).map(acts).collect();
        }
        standing
    }
}

fn read(number: u64, body: &[u8]) -> Shelf {
    Shelf::decode(body).unwrap_or_else(|| {
        tracing::error!(number, "what is agreed on in common can't be read here");
        Shelf::default()
    })
}
