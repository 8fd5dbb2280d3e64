"""Logs when the configuration of a host may be out of date."""

import logbook

from egretstep.observability import metrics
from egretstep.settings import configuration_follower

_logger = logbook.Logger('configuration')


class AgeMonitor:
    """Compares the age of the configuration with the bound for changes.

    A later configuration must be in force within `max_delay` seconds. When
    the store has not confirmed for longer that there is none, this host may
    serve with one that is out of date.
    """

    def __init__(
        self,
        *,
        configuration: configuration_follower.ConfigurationFollower,
        max_delay: float,
    ) -> None:
        self._configuration = configuration
        self._max_delay = max_delay
        self._is_outdated = False

    def check(self) -> None:
        """Publish the age, and log when it crosses the bound."""
        age = self._configuration.age
        metrics.settings_version.set({}, self._configuration.version)
        metrics.settings_age.set({}, age)
        is_outdated = age > self._max_delay
        if is_outdated and not self._is_outdated:
            _logger.warning(
                'configuration version {} (from {}) has not been confirmed for '
                '{:.1f} s (allowed: {:.1f} s): a later one may be in force; '
                'lines of the channels store, links and change-feed tell which '
                'sources do not answer',
                self._configuration.version,
                self._configuration.source,
                age,
                self._max_delay,
            )
        elif self._is_outdated and not is_outdated:
            _logger.info(
                'configuration version {} is confirmed again',
                self._configuration.version,
            )
        self._is_outdated = is_outdated
