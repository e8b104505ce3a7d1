/** The declared configuration, its validation, and conflict detection between concurrent changes. */
package org.hornbeamspread.core.configuration;
