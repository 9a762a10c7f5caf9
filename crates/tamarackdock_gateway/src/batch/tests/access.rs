use crate::{batch::access::Access, deployment::Name};

/// Guards against a job that its account can't read, and against one that another account can.
#[test]
fn a_job_is_for_the_account_that_submitted_it() {
    let (own, other): (Name, Name) = ("own".into(), "other".into());
    let access = |owner: Option<&Name>, account: Option<&Name>| {
        [true, false].map(|requires_key| Access::of(owner, account, requires_key))
    };
    let all = [Access::Allowed; 2];
    assert_eq!(access(Some(&own), Some(&own)), all);
    assert_eq!(access(Some(&own), Some(&other)), [Access::OtherAccount, Access::Allowed]);
    assert_eq!(access(Some(&own), None), [Access::UnknownKey, Access::Allowed]);
    assert_eq!(access(None, Some(&other)), all);
    assert_eq!(access(None, None), all);
}
