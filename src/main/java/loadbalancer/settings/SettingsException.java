package loadbalancer.settings;

/** Thrown for settings that are missing or invalid. The message names the setting, for an operator to read. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param message names the setting and what is wrong with it */
    public SettingsException(String message) {
        super(message);
    }

    static SettingsException missing(String path) {
        return new SettingsException("setting '" + path + "' is missing");
    }

    static SettingsException duplicate(String path, String value) {
        return new SettingsException("setting '" + path + "' must be unique, but repeats '" + value + "'");
    }

    static SettingsException notPositive(String path, String value) {
        return new SettingsException("setting '" + path + "' must be at least 1, not '" + value + "'");
    }

    static SettingsException notANumber(String path, String value) {
        return new SettingsException("setting '" + path + "' must be a finite number, not '" + value + "'");
    }

    static SettingsException unexpectedValue(String path, String allowedValues, String value) {
        return new SettingsException("setting '" + path + "' must be " + allowedValues + ", not '" + value + "'");
    }
}
