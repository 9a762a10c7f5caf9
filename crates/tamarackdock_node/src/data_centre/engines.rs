use std::rc::Rc;

use tamarackdock_config::deployment::{Kind, Target};
use tamarackdock_types::DataCentreName;

use crate::context::Context;

/// Returns the configured model engines of a data centre.
pub(super) fn engines(context: &Context, data_centre: &DataCentreName) -> Vec<Rc<Target>> {
    let active = context.active.get();
    let is_model = |target: &Target| {
        let service = active.service(target.service.as_str());
        service.is_some_and(|service| service.kind == Kind::Model)
    };
    let here = active.targets().iter().filter(|target| target.data_centre == *data_centre);
    here.filter(|target| is_model(target)).cloned().collect()
}
